/** Weight of the latest load in the moving average. */
const LATEST_LOAD_WEIGHT = 0.3;

/** Estimates the duration of loads from a moving average over recent ones. */
export class LoadTimeEstimator {
  private averageMs = 0;

  /**
   * Records the duration of a load, measured from its start or from the end of
   * the previous load, whichever is later.
   */
  recordDuration(durationMs: number): void {
    this.averageMs =
      this.averageMs === 0
        ? durationMs
        : this.averageMs + LATEST_LOAD_WEIGHT * (durationMs - this.averageMs);
  }

  /**
   * Estimated milliseconds until a load that is queued now behind `ahead`
   * others ends. Returns 0 if there are no others, so that a load is still
   * attempted when the average has become too high.
   */
  estimateWaitMs(ahead: number): number {
    return ahead === 0 ? 0 : this.averageMs * (ahead + 1);
  }
}
