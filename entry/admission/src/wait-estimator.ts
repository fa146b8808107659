/**
 * Weight of the latest request in the moving average of the request duration.
 */
const MEAN_WEIGHT = 0.1;

/**
 * Estimates how long a request waits for admission from the number and duration
 * of earlier requests.
 */
export class WaitEstimator {
  private meanMs = 0;
  private running = 0;
  private readonly waitingByPriority = new Map<number, number>();

  /** Number of waiting requests. */
  get waitingCount(): number {
    let sum = 0;
    this.waitingByPriority.forEach(count => (sum += count));
    return sum;
  }

  /**
   * Expected wait of a request with `priority`, in milliseconds; 0 if a slot is
   * free.
   */
  estimateWaitMs(concurrency: number, priority: number): number {
    const ahead = this.waitingAhead(priority);
    const requestsToEnd = this.running + ahead - concurrency + 1;
    return requestsToEnd <= 0
      ? 0
      : Math.max(1, (requestsToEnd * this.meanMs) / concurrency);
  }

  /** Records that a request started to wait. */
  addWaiting(priority: number): void {
    this.countWaiting(priority, 1);
  }

  /** Records that a request stopped waiting. */
  removeWaiting(priority: number): void {
    this.countWaiting(priority, -1);
  }

  /** Records that a request started to run. */
  addRunning(): void {
    this.running += 1;
  }

  /** Records that a request ended after `tookMs` milliseconds. */
  recordCompletion(tookMs: number): void {
    this.running -= 1;
    this.meanMs =
      this.meanMs === 0
        ? tookMs
        : this.meanMs + MEAN_WEIGHT * (tookMs - this.meanMs);
  }

  private waitingAhead(priority: number): number {
    let ahead = 0;
    for (const [other, count] of this.waitingByPriority) {
      ahead += other <= priority ? count : 0;
    }
    return ahead;
  }

  private countWaiting(priority: number, step: 1 | -1): void {
    const count = this.waitingByPriority.get(priority) ?? 0;
    this.waitingByPriority.set(priority, count + step);
  }
}
