export {BoundedSignal, type BoundedSignalOptions} from './bounded-signal.js';
