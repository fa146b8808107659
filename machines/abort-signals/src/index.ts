export {
  BoundedSignal,
  MAX_TIMER_MS,
  type BoundedSignalOptions,
} from './bounded-signal.js';
export {createDisconnectSignal} from './create-disconnect-signal.js';
export {withTimeout} from './with-timeout.js';
export {unlessAborted} from './unless-aborted.js';
