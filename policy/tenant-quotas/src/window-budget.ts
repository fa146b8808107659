import {RecentSum} from './recent-sum.js';

/** Limits the units that are taken in any window. All times are in milliseconds. */
export class WindowBudget {
  private readonly taken: RecentSum;

  constructor(windowMs: number) {
    this.taken = new RecentSum(windowMs);
  }

  /** Takes units; false if more than `limit` would be taken in a window. */
  take(amount: number, limit: number, now: number): boolean {
    if (this.taken.sum(now) + amount > limit) {
      return false;
    }
    this.taken.add(amount, now);
    return true;
  }

  /** Counts units as not taken. */
  putBack(amount: number, now: number): void {
    this.taken.remove(amount, now);
  }

  /** Time until an amount may be taken; undefined if `limit` never allows it. */
  waitMs(amount: number, limit: number, now: number): number | undefined {
    return amount > limit ? undefined : this.taken.waitMs(limit - amount, now);
  }
}
