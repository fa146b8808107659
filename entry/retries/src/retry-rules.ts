import {Refusal} from '@marigoldspur/faults';

/** A refused attempt for which a retry is considered. */
export interface RetryCase {
  readonly refusal: Refusal;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Whether bytes of a response have been sent to the caller. */
  readonly hasResponseStarted: boolean;
}

const BASE_DELAY_MS = 20;
const MAX_DELAY_MS = 500;
/**
 * Statuses below 500 with which an agent refuses requests that another target
 * may serve.
 */
const RETRYABLE_STATUSES = new Set([421, 429]);

/**
 * Whether another target may be tried: the request did not run, or it may run
 * twice.
 */
export function isRetryAllowed(retry: RetryCase): boolean {
  const {refusal, repeatable, hasResponseStarted} = retry;
  if (hasResponseStarted) {
    return false;
  }
  if (refusal.status < 500 && !RETRYABLE_STATUSES.has(refusal.status)) {
    return false;
  }
  return refusal.outcome === 'not-run' || repeatable;
}

/**
 * The delay before attempt number `attempt`, in milliseconds; `random` is in
 * [0, 1).
 */
export function retryDelayMs(attempt: number, random: number): number {
  const maxDelayMs = BASE_DELAY_MS * 2 ** (attempt - 1);
  return Math.min(MAX_DELAY_MS, maxDelayMs) * random;
}

/**
 * The refusal of a request after all of its attempts. It is `not-run` only if
 * no earlier attempt may have run.
 */
export function combineRefusals(
  earlier: readonly Refusal[],
  last: Refusal,
): Refusal {
  const mayHaveRun = earlier.some(refusal => refusal.outcome !== 'not-run');
  if (last.outcome !== 'not-run' || !mayHaveRun) {
    return last;
  }
  const {status, reason, message, retryAfterSeconds} = last;
  return new Refusal('unknown', status, reason, message, retryAfterSeconds);
}
