export {guard, type GuardOptions} from './guard.js';
