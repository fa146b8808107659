export {CallDurations} from './call-durations.js';
export {DrainAdmission, type CallOutlook} from './drain-admission.js';
