/** Time after which a stated pace counts no more, in milliseconds. */
const TTL_MS = 500;
/** Weight of the latest report against the one before it. */
const REPORT_WEIGHT = 0.6;
/** A pace outside these bounds is a wrong report and is ignored. */
const PLAUSIBLE_PACE = {min: 0.2, max: 6};
/** Bounds of the pace that counts, so that no report drives all load to or from a target. */
const PACE_BOUNDS = {min: 2 / 3, max: 3};
/** Time for which a pace is expected to last, in milliseconds. */
const HORIZON_MS = 500;

/** How long work currently takes at a target as it states itself; 1 is the usual time. */
export class StatedPace {
  private logPace = 0;
  private reportedAt = -Infinity;

  /** Records a stated pace at time `now`; implausible ones are ignored. */
  record(pace: number, now: number): void {
    if (!(pace >= PLAUSIBLE_PACE.min && pace <= PLAUSIBLE_PACE.max)) {
      return;
    }
    const {min, max} = PACE_BOUNDS;
    const known = this.logAt(now);
    const stated = Math.log(Math.min(max, Math.max(min, pace)));
    this.logPace = known + REPORT_WEIGHT * (stated - known);
    this.reportedAt = now;
  }

  /** The pace at time `now`; 1 if none was stated lately. */
  at(now: number): number {
    return this.logPace === 0 || now - this.reportedAt >= TTL_MS
      ? 1
      : Math.exp(this.logAt(now));
  }

  private logAt(now: number): number {
    const ageMs = now - this.reportedAt;
    return ageMs >= TTL_MS ? 0 : this.logPace * (1 - ageMs / TTL_MS);
  }
}

/** Time that work takes at a pace, which is expected to last only for a while, in milliseconds. */
export function stretchByPace(ms: number, pace: number): number {
  return pace === 1 ? ms : ms + (pace - 1) * Math.min(ms, HORIZON_MS);
}
