import type {Hop} from '@marigoldspur/messages';
import type {TransitDelayEstimator} from './transit-delay-estimator.js';

/** Times of an attempt. Deadlines are `performance.now()` values. */
export interface AttemptTimes {
  /** Transit delay, in milliseconds. */
  readonly delayMs: number;
  readonly deadlineMs: number;
  /** When the entry stops waiting for the first byte of the response. */
  readonly firstByteDeadlineMs: number;
}

/**
 * Computes the times of an attempt that arrived at `now`. The budget starts
 * when the attempt was written.
 */
export function attemptTimes(
  hop: Hop,
  transit: TransitDelayEstimator,
  now: number,
): AttemptTimes {
  const {budgetMs, firstByteMs = budgetMs, written} = hop;
  const delayMs = written === undefined ? 0 : transit.delayMs(written, now);
  const writtenAt = now - delayMs;
  return {
    delayMs,
    deadlineMs: writtenAt + budgetMs,
    firstByteDeadlineMs: writtenAt + Math.min(budgetMs, firstByteMs),
  };
}
