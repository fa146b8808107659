/** Time for which a report is used as it is, in milliseconds. */
const TTL_MS = 500;
/** Weight of the latest report in the usual load. */
const WEIGHT = 0.1;
/** Time without a report after which the usual load counts half, in milliseconds. */
const HALF_LIFE_MS = 5_000;

/**
 * Largest load that a report counts for, as a multiple of the requests that can run at once. A
 * longer queue does not change the choice, and absurd reports must not spoil averages for long.
 */
const MAX_LOAD_FACTOR = 4;

/** Limits the number of requests in a report of a target that runs up to `limit` at once. */
export function boundLoad(load: number, limit: number): number {
  return Math.min(load, MAX_LOAD_FACTOR * Math.max(1, limit));
}

/** Load of a plain target as its responses state it, and what other processes usually add to it. */
export class ReportedLoad {
  private load = 0;
  private reportedAt = -Infinity;
  private usualOthers = 0;

  /** Records a report at time `now`, while this process has `own` requests at the target. */
  record(
    reported: number,
    {own, slots}: {own: number; slots: number},
    now: number,
  ): void {
    const load = boundLoad(reported, slots);
    const known = this.usualOthersAt(now);
    this.usualOthers = known + WEIGHT * (Math.max(0, load - own) - known);
    this.load = load;
    this.reportedAt = now;
  }

  /** Whether the last report is recent. */
  isFresh(now: number): boolean {
    return now - this.reportedAt < TTL_MS;
  }

  /** Requests at the target at time `now`, `own` of them by this process. */
  loadAt(own: number, now: number): number {
    return this.isFresh(now)
      ? Math.max(own, this.load)
      : own + this.usualOthersAt(now);
  }

  /**
   * How far the load may be off without a recent report, in requests: the
   * deviation of as many requests that come independently of each other.
   */
  uncertainty(now: number): number {
    return this.isFresh(now) ? 0 : Math.sqrt(this.usualOthersAt(now));
  }

  private usualOthersAt(now: number): number {
    return this.usualOthers === 0
      ? 0
      : this.usualOthers * 2 ** (-(now - this.reportedAt) / HALF_LIFE_MS);
  }
}
