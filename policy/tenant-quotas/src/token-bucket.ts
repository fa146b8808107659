import {RecentSum} from './recent-sum.js';

/** Figures of a token bucket. */
export interface BucketFigures {
  /** Units added per second. */
  readonly perSecond: number;
  /** Maximum number of units that the bucket holds. */
  readonly burst: number;
  /**
   * Units by which the bucket and what was taken lately may exceed the burst together when
   * units are put back.
   */
  readonly spare: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Time within which taken units come back if they are not used, in milliseconds. The holders
 * give them up earlier; the rest is for the way of the message.
 */
export const PUT_BACK_WITHIN_MS = 1_000;

/** A token bucket that starts empty. All times are in milliseconds. */
export class TokenBucket {
  private level = 0;
  private readonly recentlyTaken = new RecentSum(PUT_BACK_WITHIN_MS);

  constructor(
    private figures: BucketFigures,
    private filledAt: number,
  ) {}

  /** Follows changed figures: a lower burst binds at once, a higher rate counts from now on. */
  setFigures(figures: BucketFigures, now: number): void {
    this.fill(now);
    this.figures = figures;
    this.level = Math.min(this.level, figures.burst);
  }

  /** Takes units; false if there are too few. */
  take(amount: number, now: number): boolean {
    this.fill(now);
    if (amount > this.level) {
      return false;
    }
    this.level -= amount;
    this.recentlyTaken.add(amount, now);
    return true;
  }

  /** Takes as many whole units as there are, up to an amount; returns their number. */
  takeUpTo(amount: number, now: number): number {
    this.fill(now);
    const taken = Math.min(amount, Math.floor(this.level));
    return taken > 0 && this.take(taken, now) ? taken : 0;
  }

  /**
   * Puts back units that were taken lately and not used. The bucket and what was taken lately
   * hold little more than the burst together: otherwise units that callers hold and give back
   * in turns would pile up, and could all be used at once.
   */
  putBack(amount: number, now: number): void {
    this.fill(now);
    this.recentlyTaken.remove(amount, now);
    const {burst, spare} = this.figures;
    const room = burst + spare - this.recentlyTaken.sum(now);
    const level = Math.min(this.level + amount, burst, room);
    this.level = Math.max(this.level, level);
  }

  private fill(now: number): void {
    if (now <= this.filledAt) {
      return;
    }
    const {burst, perSecond} = this.figures;
    const added = (perSecond * (now - this.filledAt)) / MS_PER_SECOND;
    this.filledAt = now;
    this.level = Math.min(burst, this.level + added);
  }
}
