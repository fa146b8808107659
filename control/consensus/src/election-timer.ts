import type {ConsensusOptions} from './consensus-options.js';

/** Shortest wait until an election is held again, as a share of the election timeout; the longest is three times that. */
const RETRY_SHARE = 0.25;
/** Elections without a leader after which the next ones wait longer: votes take time to sync. */
const QUICK_RETRIES = 2;
/** Largest share that the wait grows to. */
const MAX_RETRY_SHARE = 1;

/** When a replica that hears no leader holds an election. */
export class ElectionTimer {
  private holdsAt = 0;
  /** Elections held since a leader was known. */
  private retries = 0;

  constructor(private readonly options: ConsensusOptions) {}

  /** When the election is held. */
  get dueAt(): number {
    return this.holdsAt;
  }

  isDue(now: number): boolean {
    return now >= this.holdsAt;
  }

  /** Waits a whole election timeout, spread over the replicas. */
  reset(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.holdsAt = now + electionTimeoutMs * (1 + random());
  }

  /** Waits only part of an election timeout: nobody was heard yet, and a pre-vote disturbs no leader. */
  scheduleFirst(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.holdsAt = now + electionTimeoutMs * RETRY_SHARE * (1 + 2 * random());
  }

  /**
   * An election that nobody wins is held again sooner than the first, since the silence
   * is known. Each further one waits twice as long, so that slow votes can arrive.
   */
  scheduleRetry(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.retries += 1;
    const doublings = Math.max(0, this.retries - QUICK_RETRIES);
    const shortest = Math.min(MAX_RETRY_SHARE, RETRY_SHARE * 2 ** doublings);
    this.holdsAt = now + electionTimeoutMs * shortest * (1 + 2 * random());
  }

  /** A leader is known: the next election is the first again. */
  resetRetries(): void {
    this.retries = 0;
  }

  /** Holds the election with the next tick. */
  expire(now: number): void {
    this.holdsAt = now;
  }
}
