/** Options of a load backoff. */
export interface LoadBackoffOptions {
  /** Pause after the first failure, in milliseconds. */
  readonly initialDelayMs?: number;
  /** Longest pause, in milliseconds. */
  readonly maxDelayMs?: number;
  /** A random number from 0 to 1. */
  readonly random?: () => number;
}

interface Failures {
  count: number;
  until: number;
}

const DEFAULT_FIRST_PAUSE_MS = 500;
const DEFAULT_LONGEST_PAUSE_MS = 30_000;
const MAX_MODELS = 4_096;

/** Spaces the tries of loads that fail: each pause is twice the last, with jitter. */
export class LoadBackoff {
  private readonly failures = new Map<string, Failures>();

  constructor(private readonly options: LoadBackoffOptions = {}) {}

  /** Takes note of a failed load; the answer is the pause, in milliseconds. */
  recordFailure(model: string, now: number): number {
    const {
      initialDelayMs: firstPauseMs = DEFAULT_FIRST_PAUSE_MS,
      maxDelayMs: longestPauseMs = DEFAULT_LONGEST_PAUSE_MS,
      random = Math.random,
    } = this.options;
    const count = (this.failures.get(model)?.count ?? 0) + 1;
    const pauseMs = Math.min(longestPauseMs, firstPauseMs * 2 ** (count - 1));
    const jittered = pauseMs * (0.5 + random() / 2);
    this.failures.delete(model);
    this.failures.set(model, {count, until: now + jittered});
    this.dropOldest();
    return jittered;
  }

  /** Takes note of a load that succeeded. */
  recordSuccess(model: string): void {
    this.failures.delete(model);
  }

  /** Milliseconds until the load may be tried; 0 when it may be tried now. */
  remainingDelayMs(model: string, now: number): number {
    return Math.max(0, (this.failures.get(model)?.until ?? 0) - now);
  }

  private dropOldest(): void {
    if (this.failures.size > MAX_MODELS) {
      const [oldest] = this.failures.keys();
      this.failures.delete(oldest);
    }
  }
}
