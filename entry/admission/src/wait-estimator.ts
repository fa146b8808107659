/** Weight of the latest request in the mean time of a request. */
const MEAN_WEIGHT = 0.1;

/** Estimates how long a request waits for admission, from those before it. */
export class WaitEstimator {
  private meanMs = 0;
  private running = 0;
  private readonly waitingByPriority = new Map<number, number>();

  /** Requests that wait. */
  get waitingCount(): number {
    let sum = 0;
    this.waitingByPriority.forEach(count => (sum += count));
    return sum;
  }

  /** The expected wait of a request with `priority`, in milliseconds; 0 where a place is free. */
  estimateWaitMs(concurrency: number, priority: number): number {
    const ahead = this.waitingAhead(priority);
    const turns = this.running + ahead - concurrency + 1;
    return turns <= 0 ? 0 : Math.max(1, (turns * this.meanMs) / concurrency);
  }

  /** Counts a request that waits. */
  addWaiting(priority: number): void {
    this.countWaiting(priority, 1);
  }

  /** Counts a request that waits no more. */
  removeWaiting(priority: number): void {
    this.countWaiting(priority, -1);
  }

  /** Counts a request that runs. */
  addRunning(): void {
    this.running += 1;
  }

  /** Counts the end of a request that took `tookMs`. */
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
