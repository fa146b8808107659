import type {Message} from './messages.js';
import type {Entry, LogPosition, Snapshot, SnapshotMetadata} from './entry.js';

/** Role of a replica in its group. */
export type Role = 'follower' | 'pre-candidate' | 'candidate' | 'leader';

/**
 * State that must survive a restart: the group, the current term and the vote in that
 * term.
 */
export interface HardState {
  /** Group ID; empty until the replica joins a group. */
  readonly group: string;
  readonly term: number;
  /** ID of the replica that received the vote in the term; empty if none. */
  readonly vote: string;
}

/** An operation on durable state. Operations must be applied in order. */
export type LogOperation =
  | {readonly operation: 'state'; readonly state: HardState}
  /** Removes existing entries from the first index on, then appends the entries. */
  | {readonly operation: 'entries'; readonly entries: readonly Entry[]}
  /** Replaces the whole log with a snapshot. */
  | {readonly operation: 'install'; readonly snapshot: Snapshot};

/** Operations to sync, and the messages that may be sent only after the sync. */
export interface WriteBatch {
  readonly operations: readonly LogOperation[];
  readonly messages: readonly Message[];
  /** Last log position after the operations. */
  readonly last: LogPosition;
}

/** Committed and synced content that the state machine has not applied yet. */
export interface CommittedUpdate {
  readonly snapshot?: Snapshot;
  readonly entries: readonly Entry[];
}

/** State of a replica recovered from disk. */
export interface RecoveredState {
  readonly state: HardState;
  readonly snapshot?: SnapshotMetadata;
  readonly entries: readonly Entry[];
}
