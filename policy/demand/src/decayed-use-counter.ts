/** Options of a demand table. */
export interface DecayedUseCounterOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs: number;
  /** Adapters that are remembered at most; the one unused for longest is forgotten. */
  readonly maxModels: number;
}

interface Use {
  count: number;
  at: number;
}

/** Use counts that decay exponentially, one for each adapter. */
export class DecayedUseCounter {
  private readonly uses = new Map<string, Use>();

  constructor(private readonly options: DecayedUseCounterOptions) {}

  /** Adapters that are remembered. */
  get size(): number {
    return this.uses.size;
  }

  /** Counts a use of an adapter at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void {
    this.keep(model, {count: this.count(model, now) + 1, at: now});
  }

  /** Counts for an adapter without uses those of another one. */
  inheritCount(model: string, from: string): void {
    const use = this.uses.get(from);
    if (use !== undefined && !this.uses.has(model)) {
      this.keep(model, use);
    }
  }

  /** The decayed use count of an adapter at time `now`, in milliseconds. */
  count(model: string, now: number): number {
    const use = this.uses.get(model);
    if (use === undefined) {
      return 0;
    }
    return use.count * 2 ** (-(now - use.at) / this.options.halfLifeMs);
  }

  /** The adapters with the highest counts at time `now`, in milliseconds; highest first. */
  top(limit: number, now: number): string[] {
    return [...this.uses.keys()]
      .map(model => ({model, count: this.count(model, now)}))
      .sort((a, b) => b.count - a.count)
      .slice(0, limit)
      .map(({model}) => model);
  }

  private keep(model: string, use: Use): void {
    this.uses.delete(model);
    this.uses.set(model, use);
    if (this.uses.size > this.options.maxModels) {
      const [oldest] = this.uses.keys();
      this.uses.delete(oldest);
    }
  }
}
