import {RetryBudget} from '@marigoldspur/retries';
import type {RetryAllowance} from './direct-routing-settings.js';

/** Options of a retry limiter. */
export interface RetryLimiterOptions {
  readonly allowance: RetryAllowance;
  /** Number of entries that share the allowance, including this one. */
  readonly entries: () => number;
}

/**
 * Share of the allowance that is used. The margin is needed because entries do
 * not count at the same time.
 */
const ALLOWANCE_SHARE = 0.8;
const MS_PER_SECOND = 1_000;
/**
 * Burst size of the retry budget, in seconds. Retries come in bursts, for
 * example when a target ends.
 */
const BURST_SECONDS = 4;
/** Maximum time that a retry waits, in milliseconds. */
const MAX_WAIT_MS = 500;

/**
 * Limits this entry's retries to its share of the allowance that all entries
 * have for a service.
 */
export class RetryLimiter {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryLimiterOptions) {}

  /** Counts a call to a service at time `now`, in milliseconds. */
  recordCall(service: string, now: number): void {
    const ratio = this.options.allowance.ratio * ALLOWANCE_SHARE;
    this.budgetOf(service).recordRequest(ratio, now);
  }

  /**
   * Waits until a retry is allowed; false if none is allowed soon or `signal`
   * aborted the wait.
   */
  async acquire(service: string, signal: AbortSignal): Promise<boolean> {
    const waitMs = this.budgetOf(service).reserveRetry(performance.now());
    if (waitMs === undefined) {
      return false;
    }
    await new Promise(resolve => setTimeout(resolve, waitMs));
    return !signal.aborted;
  }

  private budgetOf(service: string): RetryBudget {
    const budget =
      this.budgets.get(service) ??
      new RetryBudget({
        minPerSecond: () => this.minPerSecond(),
        burstSeconds: BURST_SECONDS,
        maxWaitMs: MAX_WAIT_MS,
      });
    this.budgets.set(service, budget);
    return budget;
  }

  /**
   * This entry's share of the retries that do not depend on the number of
   * calls.
   */
  private minPerSecond(): number {
    const {allowance, entries} = this.options;
    const seconds = allowance.windowMs / MS_PER_SECOND + BURST_SECONDS;
    return (allowance.slack * ALLOWANCE_SHARE) / seconds / entries();
  }
}
