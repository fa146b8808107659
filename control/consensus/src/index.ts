export {
  CONFIGURATION_SCHEMA,
  EMPTY_CONFIGURATION,
  isReplicaUrl,
  isVoter,
  majority,
  REPLICA_ADDRESS_SCHEMA,
  REPLICA_URL_SCHEMA,
  replicasOf,
  type Configuration,
  type ReplicaAddress,
} from './configuration.js';
export {
  ENTRY_SCHEMA,
  type Entry,
  type LogPosition,
  type Snapshot,
  type SnapshotMetadata,
} from './entry.js';
export {MESSAGE_SCHEMA, type Message, type MessageOf} from './messages.js';
export type {ConfirmedRead} from './read-queue.js';
export {Consensus} from './consensus.js';
export {ElectionTimer} from './election-timer.js';
export type {ConsensusOptions} from './consensus-options.js';
export type {
  CommittedUpdate,
  WriteBatch,
  HardState,
  LogOperation,
  RecoveredState,
  Role,
} from './replica-types.js';
export {SafetyRules} from './safety-rules.js';
export {
  nextConfiguration,
  repairedReplicas,
  type RepairInput,
  type DiscoveredReplica,
} from './repair-plan.js';
