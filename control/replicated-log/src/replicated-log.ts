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
}

/** One replica of a replicated log. */
export interface ReplicatedLog<Command, Answer> {
  /**
   * Appends a command; resolves once it is synced on a majority and applied here.
   * Faults: `NOT_LEADER` (nothing was appended), `NO_QUORUM` and `TIMEOUT` (it may
   * still be committed later), `DISK_FULL` (nothing was appended).
   */
  propose(command: Command): Promise<Result<Answer, Fault>>;
  /** Resolves once this replica has applied everything committed before the call. */
  readBarrier(): Promise<Result<undefined, Fault>>;
  status(): LogStatus;
  /** Hands leadership over, syncs and closes. */
  stop(): Promise<void>;
}
