export {CutNetwork, type Cut} from './cut-network.js';
export {FAULT_KINDS, type FaultKind} from './fault-plan.js';
export {collectInForceLines} from './event-log-lines.js';
export {runFaults, type FaultRun, type FaultRunOptions} from './run-faults.js';
export type {Summary} from './summary.js';
