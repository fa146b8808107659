import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';

/** What the log drives: a deterministic machine over committed commands. */
export interface StateMachine<Command, Answer> {
  /** Applies a committed command; the same commands give the same answers everywhere. */
  apply(command: Command): Answer;
  /** Everything the machine holds, serialized. */
  snapshot(): string;
  /** Takes over a snapshot. */
  restore(snapshot: string): void;
}

/** One replica of the group, as its leader sees it. */
export interface ReplicaStatus {
  readonly id: string;
  readonly url: string;
  readonly role: 'voter' | 'learner';
  /** The last index that it holds, synced; known to the leader only. */
  readonly matchIndex?: number;
}

/** The state of one replica of the log. */
export interface LogStatus {
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Base URL of the leader, where known. */
  readonly leaderUrl?: string;
  readonly commitIndex: number;
  readonly lastIndex: number;
  /** Identities of the voters. */
  readonly voters: readonly string[];
  /** Identity of this replica, kept in its data folder. */
  readonly replica: string;
  /** Identity of the group; empty until the replica belongs to one. */
  readonly group: string;
  readonly appliedIndex: number;
  readonly replicas: readonly ReplicaStatus[];
  /** Whether this replica's disk is full. */
  readonly diskFull: boolean;
}

/** One replica of a replicated log. */
export interface ReplicatedLog<Command, Answer> {
  /**
   * Appends a command; resolves once it is synced on a majority and applied here.
   * Faults: `NOT_LEADER` with the leader's URL, `DISK_FULL` and `TOO_LARGE`
   * (nothing was appended), `NO_QUORUM` and `TIMEOUT` (it may still be committed
   * later).
   */
  propose(command: Command): Promise<Result<Answer, Fault>>;
  /** Resolves once this replica has applied everything committed before the call. */
  readBarrier(): Promise<Result<undefined, Fault>>;
  /** Takes over other URLs at which replicas may be found first. */
  setSeedUrls(urls: readonly string[]): void;
  /** Whether the replica knows a leader and has caught up with it since it started. */
  isReady(): boolean;
  status(): LogStatus;
  /** Hands leadership over, syncs and closes. */
  stop(): Promise<void>;
}
