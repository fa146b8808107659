/** A caller that waits for the beginning of an answer. */
export interface Wait {
  /** Expected time until the answer begins, in milliseconds. */
  readonly expectedMs: number;
  /** Time until the caller leaves, in milliseconds. */
  readonly patienceMs: number;
}

/** Below this time the same queue is met again, in milliseconds. */
const MIN_PAUSE_MS = 200;
/** Queues of some seconds empty or fill within this time, in milliseconds. */
const MAX_PAUSE_MS = 2_000;
/** Share of the pause over which callers that are turned away together are spread. */
const SPREAD = 0.5;

/**
 * Time after which a caller is to come back because its answer would begin after it has
 * left, in milliseconds; undefined where it can begin in time. `random` is a number from
 * 0 up to, not including, 1.
 */
export function turnAway(
  {expectedMs, patienceMs}: Wait,
  random: number,
): number | undefined {
  const lateMs = expectedMs - patienceMs;
  if (lateMs <= 0) {
    return undefined;
  }
  const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, lateMs));
  return pauseMs * (1 - SPREAD / 2 + SPREAD * random);
}
