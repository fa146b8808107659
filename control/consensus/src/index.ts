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
export {
  COMMIT_ANNOUNCE_MS,
  Consensus,
  type Applicable,
  type Batch,
  type ConsensusOptions,
  type HardState,
  type LogOperation,
  type Recovered,
  type Role,
} from './consensus.js';
export {
  nextConfiguration,
  type RepairView,
  type Sighting,
} from './repair-plan.js';
