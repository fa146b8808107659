import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Evicts the least recently used adapter. */
export class LruEviction implements EvictionPolicy {
  recordUse(): void {}

  inheritUses(): void {}

  chooseVictim(slots: readonly EvictionCandidate[]): string | undefined {
    return slots.reduce<EvictionCandidate | undefined>(
      (oldest, slot) =>
        oldest === undefined || slot.lastUsed < oldest.lastUsed ? slot : oldest,
      undefined,
    )?.model;
  }
}
