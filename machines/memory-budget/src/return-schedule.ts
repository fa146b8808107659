const MS_PER_SECOND = 1_000;
/** Shortest delay, in seconds. */
const MIN_DELAY_SECONDS = 0.5;

/**
 * Spreads the times at which refused callers come back, in the order in which they came: no more
 * bytes a second than the budget holds.
 */
export class ReturnSchedule {
  /** Bytes that refused callers will bring back and that are not due yet. */
  private pendingBytes = 0;
  private updatedAt = 0;

  /** Seconds after which a caller with `bytes` that was refused at `now` (in milliseconds) should come back. */
  delaySeconds(bytes: number, maxBytes: number, now: number): number {
    const elapsedMs = Math.max(0, now - this.updatedAt);
    const dueBytes = (maxBytes * elapsedMs) / MS_PER_SECOND;
    this.updatedAt = now;
    this.pendingBytes = Math.max(0, this.pendingBytes - dueBytes) + bytes;
    const delay = MIN_DELAY_SECONDS + this.pendingBytes / maxBytes;
    return Math.round(delay * 10) / 10;
  }
}
