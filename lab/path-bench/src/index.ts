export {callRound, type Round, type RoundOptions} from './call-round.js';
export {
  streamRound,
  type StreamRound,
  type StreamRoundOptions,
} from './stream-round.js';
