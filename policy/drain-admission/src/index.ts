export {CallDurations} from './call-durations.js';
export {createShuttingDownRefusal} from './shutting-down-refusal.js';
export {DrainAdmission, type CallOutlook} from './drain-admission.js';
