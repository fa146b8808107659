export {StatedLimits, type StatedLimit} from './stated-limits.js';
