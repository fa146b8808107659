export {AdapterUses} from './adapter-uses.js';
export {AdapterWait, type AdapterWaitOptions} from './adapter-wait.js';
export {CallDesk, type CallDeskOptions} from './call-desk.js';
export type {CallRunner} from './call-runner.js';
export {DirectMetrics} from './direct-metrics.js';
export type {
  AnswerHead,
  CallHead,
  Dialect,
  ModelWork,
  Sending,
} from './dialect.js';
export type {DirectSettings, RetryAllowance} from './direct-settings.js';
export {SlotTurns} from './slot-turns.js';
export {startDirectEntry, type DirectEntry} from './start-direct-entry.js';
export {TargetBook, type TargetBookOptions} from './target-book.js';
export {TargetFinder, type TargetFinderOptions} from './target-finder.js';
export {TargetAgent} from './target-agent.js';
export {
  TargetClient,
  type TargetCall,
  type TargetFailure,
} from './target-client.js';
