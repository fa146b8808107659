import type {Hop} from '@marigoldspur/messages';
import type {TransitDelayEstimator} from './transit-delay-estimator.js';

/** The times of an attempt; those that end it are `performance.now()` times. */
export interface AttemptTimes {
  /** How long it was on its way, in milliseconds. */
  readonly delayMs: number;
  readonly deadlineMs: number;
  /** Time at which the entry gives up on an answer that has not begun. */
  readonly firstByteBy: number;
}

/** The times of an attempt that came at `now`: its budget counts from when it was written. */
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
    firstByteBy: writtenAt + Math.min(budgetMs, firstByteMs),
  };
}
