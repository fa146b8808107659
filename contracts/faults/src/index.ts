export {Fault, InvalidInput, toFault} from './fault.js';
export type {FaultCode} from './fault.js';
export {formatFindings, schemaFindings} from './finding.js';
export type {Finding} from './finding.js';
export {Refusal} from './refusal.js';
export type {RefusalOutcome} from './refusal.js';
