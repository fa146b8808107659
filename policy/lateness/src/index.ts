export {findLate, type LatenessOptions, type TimedLoad} from './find-late.js';
export {OverloadWatch} from './overload-watch.js';
