import {Refusal} from '@marigoldspur/faults';

/** A refused attempt whose retry is decided. */
export interface RetryCase {
  readonly refusal: Refusal;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Whether bytes of an answer went to the caller. */
  readonly answerBegun: boolean;
}

const BASE_PAUSE_MS = 20;
const MAX_PAUSE_MS = 500;
/** Statuses below 500 with which an agent refuses what another target may serve. */
const ELSEWHERE_STATUSES = new Set([421, 429]);

/** Whether another target may be tried: what did not run, or what may run twice. */
export function isRetryAllowed(retry: RetryCase): boolean {
  const {refusal, repeatable, answerBegun} = retry;
  if (answerBegun) {
    return false;
  }
  if (refusal.status < 500 && !ELSEWHERE_STATUSES.has(refusal.status)) {
    return false;
  }
  return refusal.outcome === 'not-run' || repeatable;
}

/** The pause before attempt number `attempt`, in milliseconds; `random` is from 0 up to 1. */
export function retryDelayMs(attempt: number, random: number): number {
  const longest = BASE_PAUSE_MS * 2 ** (attempt - 1);
  return Math.min(MAX_PAUSE_MS, longest) * random;
}

/**
 * The refusal of a request after all of its attempts: `not-run` holds only where no
 * earlier attempt may have run.
 */
export function combineRefusals(
  earlier: readonly Refusal[],
  last: Refusal,
): Refusal {
  const ran = earlier.some(refusal => refusal.outcome !== 'not-run');
  if (last.outcome !== 'not-run' || !ran) {
    return last;
  }
  const {status, reason, message, retryAfterSeconds} = last;
  return new Refusal('unknown', status, reason, message, retryAfterSeconds);
}
