export {
  CONFIGURATION_SCHEMA,
  EMPTY_CONFIGURATION,
  isVoter,
  majority,
  REPLICA_ADDRESS_SCHEMA,
  replicasOf,
  type Configuration,
  type ReplicaAddress,
} from './configuration.js';
export {
  ENTRY_SCHEMA,
  type Entry,
  type Position,
  type Snapshot,
  type SnapshotPlace,
} from './entry.js';
export {MESSAGE_SCHEMA, type Message, type MessageOf} from './messages.js';
export type {ConfirmedRead} from './read-queue.js';
export {Consensus} from './consensus.js';
export {ElectionTimer} from './election-timer.js';
export type {ConsensusOptions} from './consensus-options.js';
export type {
  Applicable,
  Batch,
  HardState,
  LogOperation,
  Recovered,
  Role,
} from './replica-content.js';
export {SafetyRules} from './safety-rules.js';
export {
  nextConfiguration,
  repairedBetween,
  type RepairView,
  type Sighting,
} from './repair-plan.js';
