export {
  openReplicatedLog,
  type OpenedLog,
  type ReplicatedLogOptions,
} from './open-replicated-log.js';
export type {
  LogStatus,
  ReplicatedLog,
  ReplicaStatus,
  StateMachine,
} from './replicated-log.js';
