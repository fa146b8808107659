const MS_PER_SECOND = 1_000;
/** Time constant of the moving average of the request rate, in milliseconds. */
const WINDOW_MS = 5_000;
/**
 * Default minimum number of allowed retries per second, independent of the
 * request rate.
 */
const DEFAULT_MIN_PER_SECOND = 1;
/** Default burst size, in seconds of allowed retries. */
const DEFAULT_BURST_SECONDS = 1;
/** Default maximum time that a retry waits, in milliseconds. */
const DEFAULT_MAX_WAIT_MS = 3_000;

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /**
   * Returns the minimum number of allowed retries per second, independent of
   * the request rate.
   */
  readonly minPerSecond?: () => number;
  /** Burst size, in seconds of allowed retries. */
  readonly burstSeconds?: number;
  /** Maximum time that a retry waits, in milliseconds. */
  readonly maxWaitMs?: number;
}

/**
 * Token bucket that limits retries to a share of the recent requests. Requests
 * that fail at the same time are retried one by one, so that their retries do
 * not all arrive at the same time.
 */
export class RetryBudget {
  private tokens = 1;
  /** Retries per second allowed by recent requests. */
  private earnedPerSecond = 0;
  private updatedAt = 0;

  constructor(private readonly options: RetryBudgetOptions = {}) {}

  /**
   * Records a request at time `now`, in milliseconds; `ratio` is the share of
   * requests that may be retries.
   */
  recordRequest(ratio: number, now: number): void {
    this.refill(now, ratio);
    this.earnedPerSecond += (ratio * MS_PER_SECOND) / WINDOW_MS;
  }

  /**
   * Reserves one retry at time `now`. Returns the delay before the retry, in
   * milliseconds; undefined if the delay would be too long.
   */
  reserveRetry(now: number): number | undefined {
    this.refill(now, 0);
    const missingTokens = Math.max(0, 1 - this.tokens);
    const waitMs = (missingTokens / this.retriesPerSecond) * MS_PER_SECOND;
    if (waitMs > (this.options.maxWaitMs ?? DEFAULT_MAX_WAIT_MS)) {
      return undefined;
    }
    this.tokens -= 1;
    return waitMs;
  }

  private get minPerSecond(): number {
    return this.options.minPerSecond?.() ?? DEFAULT_MIN_PER_SECOND;
  }

  private get retriesPerSecond(): number {
    return Math.max(this.minPerSecond, this.earnedPerSecond);
  }

  /**
   * Adds the earned tokens, or the minimum for the elapsed time if that is
   * more, up to the burst size.
   */
  private refill(now: number, earnedTokens: number): void {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    this.updatedAt = Math.max(now, this.updatedAt);
    this.earnedPerSecond *= Math.exp(-elapsedMs / WINDOW_MS);
    const minTokens = (this.minPerSecond * elapsedMs) / MS_PER_SECOND;
    const tokens = this.tokens + Math.max(earnedTokens, minTokens);
    const {burstSeconds = DEFAULT_BURST_SECONDS} = this.options;
    this.tokens = Math.min(this.retriesPerSecond * burstSeconds, tokens);
  }
}
