import {RetryBudget} from '@marigoldspur/retries';
import type {RetryAllowance} from './direct-settings.js';

/** What retry turns work with. */
export interface RetryLimiterOptions {
  readonly allowance: RetryAllowance;
  /** Entries that share the allowance, this one included. */
  readonly entries: () => number;
}

/** Part of the common allowance that is used: entries don't count at the same moment. */
const ALLOWANCE_PART = 0.8;
const SECOND_MS = 1_000;
/** Retries are needed in bursts, such as those of a target that ends, in seconds. */
const SAVED_SECONDS = 4;
/** Longest wait for a turn, in milliseconds. */
const MAX_WAIT_MS = 500;

/** Keeps this entry's retries to its part of what all entries together may send to a service. */
export class RetryLimiter {
  private readonly budgets = new Map<string, RetryBudget>();

  constructor(private readonly options: RetryLimiterOptions) {}

  /** Counts a call to a service at time `now`, in milliseconds. */
  recordCall(service: string, now: number): void {
    const ratio = this.options.allowance.ratio * ALLOWANCE_PART;
    this.budget(service).recordRequest(ratio, now);
  }

  /** Waits for the turn of a retry; false where there is none soon, or `signal` ended the wait. */
  async acquire(service: string, signal: AbortSignal): Promise<boolean> {
    const waitMs = this.budget(service).reserveRetry(performance.now());
    if (waitMs === undefined || waitMs > MAX_WAIT_MS) {
      return false;
    }
    await new Promise(resolve => setTimeout(resolve, waitMs));
    return !signal.aborted;
  }

  private budget(service: string): RetryBudget {
    const known =
      this.budgets.get(service) ??
      new RetryBudget({
        minPerSecond: () => this.leastPerSecond(),
        burstSeconds: SAVED_SECONDS,
      });
    this.budgets.set(service, known);
    return known;
  }

  /** This entry's part of the retries that don't depend on the number of calls. */
  private leastPerSecond(): number {
    const {allowance, entries} = this.options;
    const seconds = allowance.windowMs / SECOND_MS + SAVED_SECONDS;
    return (allowance.slack * ALLOWANCE_PART) / seconds / entries();
  }
}
