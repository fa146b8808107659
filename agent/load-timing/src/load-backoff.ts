/** Options of a load backoff. */
export interface LoadBackoffOptions {
  /** Delay after the first failure, in milliseconds. */
  readonly initialDelayMs?: number;
  /** Maximum delay, in milliseconds. */
  readonly maxDelayMs?: number;
  /** Returns a random number in [0, 1). */
  readonly random?: () => number;
}

interface Failures {
  count: number;
  retryAt: number;
}

const DEFAULT_INITIAL_DELAY_MS = 500;
const DEFAULT_MAX_DELAY_MS = 30_000;
const MAX_TRACKED_MODELS = 4_096;

/**
 * Delays retries of failed loads by exponential backoff with jitter: each delay
 * is twice the previous one.
 */
export class LoadBackoff {
  private readonly failures = new Map<string, Failures>();

  constructor(private readonly options: LoadBackoffOptions = {}) {}

  /**
   * Records a failed load and returns the delay before the next attempt, in
   * milliseconds.
   */
  recordFailure(model: string, now: number): number {
    const {
      initialDelayMs = DEFAULT_INITIAL_DELAY_MS,
      maxDelayMs = DEFAULT_MAX_DELAY_MS,
      random = Math.random,
    } = this.options;
    const count = (this.failures.get(model)?.count ?? 0) + 1;
    const delayMs = Math.min(maxDelayMs, initialDelayMs * 2 ** (count - 1));
    const jitteredMs = delayMs * (0.5 + random() / 2);
    this.failures.delete(model);
    this.failures.set(model, {count, retryAt: now + jitteredMs});
    this.removeOldest();
    return jitteredMs;
  }

  /** Records a successful load, which resets the delay. */
  recordSuccess(model: string): void {
    this.failures.delete(model);
  }

  /**
   * Milliseconds until the load may be attempted; 0 if it may be attempted now.
   */
  remainingDelayMs(model: string, now: number): number {
    return Math.max(0, (this.failures.get(model)?.retryAt ?? 0) - now);
  }

  private removeOldest(): void {
    if (this.failures.size > MAX_TRACKED_MODELS) {
      const [oldest] = this.failures.keys();
      this.failures.delete(oldest);
    }
  }
}
