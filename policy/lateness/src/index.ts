export {findLate, type LatenessOptions, type TimedLoad} from './find-late.js';
export {OverloadWatch, type OverloadWatchOptions} from './overload-watch.js';
export {turnAway, type Wait} from './turn-away.js';
