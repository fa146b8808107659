export {BoundedSignal, type BoundedSignalOptions} from './bounded-signal.js';
export {disconnectSignal} from './disconnect-signal.js';
export {withTimeout} from './with-timeout.js';
