const MS_PER_SECOND = 1_000;

/** Limits the rate of sent bytes with a token bucket that holds the bytes of one second. */
export class ByteRateLimiter {
  private availableBytes: number;
  private refilledAt?: number;

  constructor(private readonly bytesPerSecond: number) {
    this.availableBytes = bytesPerSecond;
  }

  /** Refills the bucket and returns whether anything may be sent at time `now`, in milliseconds. */
  canSend(now: number): boolean {
    const refill =
      ((now - (this.refilledAt ?? now)) * this.bytesPerSecond) / MS_PER_SECOND;
    this.availableBytes = Math.min(
      this.availableBytes + refill,
      this.bytesPerSecond,
    );
    this.refilledAt = now;
    return this.availableBytes > 0;
  }

  /** Deducts sent bytes; the bucket may become negative. */
  recordSent(bytes: number): void {
    this.availableBytes -= bytes;
  }
}
