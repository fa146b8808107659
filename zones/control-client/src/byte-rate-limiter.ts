const MS_PER_SECOND = 1_000;

/** Bytes that may be sent: what was spent comes back with time, up to those of a second. */
export class ByteRateLimiter {
  private left: number;
  private at?: number;

  constructor(private readonly bytesPerSecond: number) {
    this.left = bytesPerSecond;
  }

  /** Whether something may be sent at time `now`, in milliseconds. */
  canSend(now: number): boolean {
    const grown =
      ((now - (this.at ?? now)) * this.bytesPerSecond) / MS_PER_SECOND;
    this.left = Math.min(this.left + grown, this.bytesPerSecond);
    this.at = now;
    return this.left > 0;
  }

  /** Takes note of bytes that were sent, also of more than there were left. */
  recordSent(bytes: number): void {
    this.left -= bytes;
  }
}
