export {LoadBackoff, type LoadBackoffOptions} from './load-backoff.js';
export {LoadTimeEstimator} from './load-time-estimator.js';
