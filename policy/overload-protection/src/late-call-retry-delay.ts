/** Expected times of a call whose caller waits for the response to start. */
export interface ExpectedWait {
  /**
   * Expected time until a target starts to process the call, in milliseconds.
   */
  readonly waitMs: number;
  /** Expected time from then until the response starts, in milliseconds. */
  readonly processingMs: number;
  /** Time until the caller gives up, in milliseconds. */
  readonly patienceMs: number;
}

/**
 * Maximum share of the caller's patience that the processing time counts for.
 */
const MAX_PROCESSING_SHARE = 0.5;
/**
 * Minimum delay, in milliseconds; a caller that returns sooner finds the same
 * queue.
 */
const MIN_DELAY_MS = 200;
/**
 * Maximum delay, in milliseconds; queues of a few seconds drain or fill within
 * this time.
 */
const MAX_DELAY_MS = 2_000;
/**
 * Jitter as a share of the delay, which spreads callers that are refused
 * together.
 */
const JITTER_SHARE = 0.5;

/**
 * Returns the retry delay of a caller whose response would start after it has
 * given up, in milliseconds; undefined if it may start in time. A call with a
 * long processing time is not refused for that alone, because a later attempt
 * would take as long. `random` is in [0, 1).
 */
export function lateCallRetryDelayMs(
  {processingMs, patienceMs, waitMs}: ExpectedWait,
  random: number,
): number | undefined {
  const countedProcessingMs = Math.min(
    processingMs,
    Math.max(0, patienceMs) * MAX_PROCESSING_SHARE,
  );
  const latenessMs = waitMs + countedProcessingMs - patienceMs;
  if (latenessMs <= 0) {
    return undefined;
  }
  const delayMs = Math.min(MAX_DELAY_MS, Math.max(MIN_DELAY_MS, latenessMs));
  return delayMs * (1 - JITTER_SHARE / 2 + JITTER_SHARE * random);
}
