export {LoadBackoff, type LoadBackoffOptions} from './load-backoff.js';
export {LoadForecast} from './load-forecast.js';
