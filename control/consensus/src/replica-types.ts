import type {Message} from './messages.js';
import type {Entry, LogPosition, Snapshot, SnapshotMetadata} from './entry.js';

/** What a replica is to its group at present. */
export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/** What a replica must not forget: its group, its term and its vote there. */
export interface HardState {
  /** Empty until the replica joins a group. */
  readonly group: string;
  readonly term: number;
  /** Identity that got the vote of the term; empty for none. */
  readonly vote: string;
}

/** One step of what must be durable, in order. */
export type LogOperation =
  | {readonly operation: 'state'; readonly state: HardState}
  /** Puts entries at their indexes and drops what stood there and after. */
  | {readonly operation: 'entries'; readonly entries: readonly Entry[]}
  /** Takes over a snapshot and drops the whole log. */
  | {readonly operation: 'install'; readonly snapshot: Snapshot};

/** Operations to be synced, and the messages that may go out only after that. */
export interface WriteBatch {
  readonly operations: readonly LogOperation[];
  readonly messages: readonly Message[];
  /** The end of the log with the operations done. */
  readonly last: LogPosition;
}

/** Committed and synced content that the state machine has not seen yet. */
export interface CommittedUpdate {
  readonly snapshot?: Snapshot;
  readonly entries: readonly Entry[];
}

/** What a replica found on its disk. */
export interface RecoveredState {
  readonly state: HardState;
  readonly snapshot?: SnapshotMetadata;
  readonly entries: readonly Entry[];
}
