export type {LogStatus, ReplicatedLog, StateMachine} from './replicated-log.js';
export {openSingleReplica} from './single-replica.js';
