import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';

/** A deterministic state machine to which the log applies committed commands. */
export interface StateMachine<Command, Answer> {
  /**
   * Applies a committed command. The same commands must return the same answers on
   * every replica.
   */
  apply(command: Command): Answer;
  /** Serializes the state. */
  snapshot(): string;
  /** Replaces the state with a snapshot. */
  restore(snapshot: string): void;
}

/** Status of a replica in the configuration. */
export interface ReplicaStatus {
  readonly id: string;
  readonly url: string;
  readonly role: 'voter' | 'learner';
  /**
   * The last index known to be synced on the replica; only the leader knows it for
   * other replicas.
   */
  readonly matchIndex?: number;
}

/** Status of the log on this replica. */
export interface LogStatus {
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Base URL of the leader, if known. */
  readonly leaderUrl?: string;
  /** Index of the last entry known to be committed. */
  readonly commitIndex: number;
  /** Index of the last entry in the log, committed or not. */
  readonly lastIndex: number;
  /** IDs of the voters. */
  readonly voters: readonly string[];
  /** ID of this replica, stored in its data folder. */
  readonly replica: string;
  /** ID of the group; empty until the replica joins one. */
  readonly group: string;
  /** Index of the last entry applied to the state machine. */
  readonly appliedIndex: number;
  readonly replicas: readonly ReplicaStatus[];
  /** Whether the disk of this replica is full. */
  readonly diskFull: boolean;
  /** Whether the disk of this replica fails, or the process has no file descriptors left. */
  readonly diskFailed: boolean;
}

/** One replica of a replicated log. */
export interface ReplicatedLog<Command, Answer> {
  /**
   * Appends a command; resolves once it is synced on a majority and applied on this
   * replica. Errors: `NOT_LEADER` with the URL of the leader, `DISK_FULL`, `DISK_FAILED`
   * and `TOO_LARGE` (the command was not appended), `NO_QUORUM` and `TIMEOUT` (the command may still be
   * committed later).
   */
  propose(command: Command): Promise<Result<Answer, Fault>>;
  /**
   * Resolves once this replica has applied all entries committed before the call. Errors:
   * `NO_QUORUM` if no majority confirms the read in time, `STOPPING` if the log is stopped.
   */
  readBarrier(): Promise<Result<undefined, Fault>>;
  /** Replaces the seed URLs at which other replicas are looked up. */
  setSeedUrls(urls: readonly string[]): void;
  /** Whether this replica knows a leader and has caught up with it since startup. */
  isReady(): boolean;
  status(): LogStatus;
  /** Transfers leadership, syncs pending writes and closes the log. */
  stop(): Promise<void>;
}
