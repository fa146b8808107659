/** Options of a leaky bucket, in any one unit. */
export interface LeakyBucketOptions {
  /** What may come at once. */
  readonly capacity: number;
  /** What may come per second in the long run. */
  readonly perSecond: number;
}

const MS_PER_SECOND = 1_000;

/** Compares what arrives with a rate. */
export class LeakyBucket {
  private level = 0;
  private updatedAt = -Infinity;

  constructor(private readonly options: LeakyBucketOptions) {}

  /** Adds an amount at time `now`, in milliseconds; a negative one makes room. Whether all of it is within the capacity. */
  add(amount: number, now: number): boolean {
    this.level = Math.max(0, this.levelAt(now) + amount);
    this.updatedAt = now;
    return this.level <= this.options.capacity;
  }

  /** Time from `now` until no more than the capacity is left, in milliseconds; 0 if that holds already. */
  excessMs(now: number): number {
    const {capacity, perSecond} = this.options;
    const excess = Math.max(0, this.levelAt(now) - capacity);
    return Math.ceil((excess * MS_PER_SECOND) / perSecond);
  }

  private levelAt(now: number): number {
    const elapsedS = Math.max(0, now - this.updatedAt) / MS_PER_SECOND;
    return Math.max(0, this.level - elapsedS * this.options.perSecond);
  }
}
