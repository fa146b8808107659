import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Evicts adapters that take no requests any more before all others. */
export class RetiredFirstEviction implements EvictionPolicy {
  /** `eviction` chooses among the retired ones, and among the others where there are none. */
  constructor(
    private readonly eviction: EvictionPolicy,
    private readonly isRetired: (model: string) => boolean,
  ) {}

  recordUse(model: string, now: number): void {
    this.eviction.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string, now: number): void {
    this.eviction.inheritUses(model, predecessor, now);
  }

  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    const retired = slots.filter(({model}) => this.isRetired(model));
    return this.eviction.chooseVictim(
      retired.length > 0 ? retired : slots,
      now,
    );
  }
}
