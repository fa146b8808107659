import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Evicts retired adapters, which get no more requests, before all others. */
export class RetiredFirstEviction implements EvictionPolicy {
  /**
   * `policy` chooses among the retired adapters, or among all if none is
   * retired.
   */
  constructor(
    private readonly policy: EvictionPolicy,
    private readonly isRetired: (model: string) => boolean,
  ) {}

  recordUse(model: string, now: number): void {
    this.policy.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string, now: number): void {
    this.policy.inheritUses(model, predecessor, now);
  }

  chooseVictim(
    candidates: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    const retired = candidates.filter(({model}) => this.isRetired(model));
    return this.policy.chooseVictim(
      retired.length > 0 ? retired : candidates,
      now,
    );
  }
}
