export {BoundedSignal, type BoundedSignalOptions} from './bounded-signal.js';
export {peerGone} from './peer-gone.js';
export {settleWithin} from './settle-within.js';
