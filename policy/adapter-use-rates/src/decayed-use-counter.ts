/** Options of a decayed use counter. */
export interface DecayedUseCounterOptions {
  /** Half-life of a use, in milliseconds. */
  readonly halfLifeMs: number;
  /**
   * Maximum number of adapter versions that are kept; the least recently used
   * one is removed.
   */
  readonly maxModels: number;
}

interface DecayedCount {
  count: number;
  updatedAt: number;
}

/** Exponentially decaying use counts per adapter version, `adapter@version`. */
export class DecayedUseCounter {
  private readonly counts = new Map<string, DecayedCount>();

  constructor(private readonly options: DecayedUseCounterOptions) {}

  /** Number of adapter versions that are kept. */
  get size(): number {
    return this.counts.size;
  }

  /** Records a use of an adapter at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void {
    this.store(model, {count: this.count(model, now) + 1, updatedAt: now});
  }

  /** Copies the count of another adapter to an adapter that has none. */
  inheritCount(model: string, source: string): void {
    const use = this.counts.get(source);
    if (use !== undefined && !this.counts.has(model)) {
      this.store(model, use);
    }
  }

  /** The decayed use count of an adapter at time `now`, in milliseconds. */
  count(model: string, now: number): number {
    const use = this.counts.get(model);
    if (use === undefined) {
      return 0;
    }
    return use.count * 2 ** (-(now - use.updatedAt) / this.options.halfLifeMs);
  }

  /**
   * The adapters with the highest counts at time `now`, in milliseconds;
   * highest first.
   */
  top(limit: number, now: number): string[] {
    return [...this.counts.keys()]
      .map(model => ({model, count: this.count(model, now)}))
      .sort((a, b) => b.count - a.count)
      .slice(0, limit)
      .map(({model}) => model);
  }

  private store(model: string, use: DecayedCount): void {
    this.counts.delete(model);
    this.counts.set(model, use);
    if (this.counts.size > this.options.maxModels) {
      const [oldest] = this.counts.keys();
      this.counts.delete(oldest);
    }
  }
}
