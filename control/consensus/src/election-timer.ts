import type {ConsensusOptions} from './consensus-options.js';

/**
 * Minimum delay before an election is retried, as a fraction of the election timeout.
 * The maximum is three times that.
 */
const RETRY_FRACTION = 0.25;
/** Number of retries before the delay starts to grow, because votes take time to sync. */
const QUICK_RETRIES = 2;
/** Upper bound on the minimum delay, as a fraction of the election timeout. */
const MAX_RETRY_FRACTION = 1;

/** Schedules the elections of a replica that is not in contact with a leader. */
export class ElectionTimer {
  private electionAt = 0;
  /** Elections started since a leader was last known. */
  private retries = 0;

  constructor(private readonly options: ConsensusOptions) {}

  /** When the next election starts, in milliseconds. */
  get dueAt(): number {
    return this.electionAt;
  }

  isDue(now: number): boolean {
    return now >= this.electionAt;
  }

  /** Schedules an election after a full, randomized election timeout. */
  reset(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.electionAt = now + electionTimeoutMs * (1 + random());
  }

  /**
   * Schedules the first election after startup. The delay is shorter than an election
   * timeout, because no leader is known yet and a pre-vote does not disrupt one.
   */
  scheduleFirst(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.electionAt =
      now + electionTimeoutMs * RETRY_FRACTION * (1 + 2 * random());
  }

  /**
   * Schedules a retry after an election without a winner. The first retries come sooner
   * than a full election timeout, because the leader is already known to be silent. After
   * `QUICK_RETRIES` the delay doubles with each retry, so that slow votes can arrive.
   */
  scheduleRetry(now: number): void {
    const {electionTimeoutMs, random} = this.options;
    this.retries += 1;
    const doublings = Math.max(0, this.retries - QUICK_RETRIES);
    const minFraction = Math.min(
      MAX_RETRY_FRACTION,
      RETRY_FRACTION * 2 ** doublings,
    );
    this.electionAt =
      now + electionTimeoutMs * minFraction * (1 + 2 * random());
  }

  /** Resets the retry delay, because a leader is known. */
  resetRetries(): void {
    this.retries = 0;
  }

  /** Makes an election due immediately. */
  expire(now: number): void {
    this.electionAt = now;
  }
}
