const SECOND_MS = 1_000;
/** Time over which the rate of requests is taken. */
const WINDOW_MS = 5_000;
/** Retries a second that are allowed by default however few requests come. */
const DEFAULT_LEAST_PER_SECOND = 1;
/** Time whose retries are saved up by default while none are needed, in seconds. */
const DEFAULT_SAVED_SECONDS = 1;
/** Longest time that a retry waits for its turn. */
const MAX_WAIT_MS = 3_000;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Gives the retries a second that are allowed however few requests come. */
  readonly minPerSecond?: () => number;
  /** Time whose retries are saved up while none are needed, in seconds. */
  readonly burstSeconds?: number;
}

/**
 * Keeps retries to a share of the requests of each second. What fails at the same
 * moment is retried one by one, so that retries never come as a wave.
 */
export class RetryBudget {
  private tokens = 1;
  /** Retries a second that requests have earned lately. */
  private earnedPerSecond = 0;
  private advancedAt = 0;

  constructor(private readonly options: RetryBudgetOptions = {}) {}

  /** Counts a request at time `now`; `ratio` is the share of requests that may be retries. */
  recordRequest(ratio: number, now: number): void {
    this.advance(now, ratio);
    this.earnedPerSecond += (ratio * SECOND_MS) / WINDOW_MS;
  }

  /**
   * Takes a turn for one retry at time `now`; gives the time until the turn, in
   * milliseconds, or undefined where it is too far away.
   */
  reserveRetry(now: number): number | undefined {
    this.advance(now, 0);
    const missing = Math.max(0, 1 - this.tokens);
    const waitMs = (missing / this.retriesPerSecond) * SECOND_MS;
    if (waitMs > MAX_WAIT_MS) {
      return undefined;
    }
    this.tokens -= 1;
    return waitMs;
  }

  private get leastPerSecond(): number {
    return this.options.minPerSecond?.() ?? DEFAULT_LEAST_PER_SECOND;
  }

  private get retriesPerSecond(): number {
    return Math.max(this.leastPerSecond, this.earnedPerSecond);
  }

  /** Adds what was earned, or the least of the time that has passed; saves up one second's retries. */
  private advance(now: number, earned: number): void {
    const elapsedMs = Math.max(0, now - this.advancedAt);
    this.advancedAt = Math.max(now, this.advancedAt);
    this.earnedPerSecond *= Math.exp(-elapsedMs / WINDOW_MS);
    const least = (this.leastPerSecond * elapsedMs) / SECOND_MS;
    const tokens = this.tokens + Math.max(earned, least);
    const {burstSeconds: savedSeconds = DEFAULT_SAVED_SECONDS} = this.options;
    this.tokens = Math.min(this.retriesPerSecond * savedSeconds, tokens);
  }
}
