const WEIGHT_OF_LATEST = 0.3;

/** Foretells how long a load takes from those that ended lately. */
export class LoadTimeEstimator {
  private averageMs = 0;

  /** Takes note of the time from the end of one load, or its own start, to its end. */
  recordDuration(tookMs: number): void {
    this.averageMs =
      this.averageMs === 0
        ? tookMs
        : this.averageMs + WEIGHT_OF_LATEST * (tookMs - this.averageMs);
  }

  /**
   * Milliseconds until a load that starts now, behind `ahead` others, ends.
   * Without others it is 0, so that a forecast that has grown too long is tried again.
   */
  estimateWaitMs(ahead: number): number {
    return ahead === 0 ? 0 : this.averageMs * (ahead + 1);
  }
}
