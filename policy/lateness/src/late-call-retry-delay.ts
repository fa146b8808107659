/** A caller that waits for the beginning of an answer. */
export interface ExpectedWait {
  /** Expected time until a target turns to the call, in milliseconds. */
  readonly waitMs: number;
  /** Time that the call itself takes from then until its answer begins, in milliseconds. */
  readonly ownMs: number;
  /** Time until the caller leaves, in milliseconds. */
  readonly patienceMs: number;
}

/** Share of the patience that a call itself may take without being turned away for it. */
const OWN_SHARE = 0.5;
/** Below this time the same queue is met again, in milliseconds. */
const MIN_PAUSE_MS = 200;
/** Queues of some seconds empty or fill within this time, in milliseconds. */
const MAX_PAUSE_MS = 2_000;
/** Share of the pause over which callers that are turned away together are spread. */
const SPREAD = 0.5;

/**
 * Time after which a caller is to come back because its answer would begin after it has
 * left, in milliseconds; undefined where it may begin in time. A call that takes long by
 * itself is not turned away for that, as it would not fare better later. `random` is a
 * number from 0 up to, not including, 1.
 */
export function lateCallRetryDelayMs(
  {ownMs, patienceMs, waitMs}: ExpectedWait,
  random: number,
): number | undefined {
  const countedMs = Math.min(ownMs, Math.max(0, patienceMs) * OWN_SHARE);
  const lateMs = waitMs + countedMs - patienceMs;
  if (lateMs <= 0) {
    return undefined;
  }
  const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, lateMs));
  return pauseMs * (1 - SPREAD / 2 + SPREAD * random);
}
