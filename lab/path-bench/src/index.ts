export {
  runCallRound,
  type CallRoundResult,
  type CallRoundOptions,
} from './call-round.js';
export {
  runStreamRound,
  type StreamRoundResult,
  type StreamRoundOptions,
} from './stream-round.js';
