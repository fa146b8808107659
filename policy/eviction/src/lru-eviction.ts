import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Evicts the least recently used adapter. */
export class LruEviction implements EvictionPolicy {
  recordUse(): void {}

  inheritUses(): void {}

  chooseVictim(candidates: readonly EvictionCandidate[]): string | undefined {
    return candidates.reduce<EvictionCandidate | undefined>(
      (oldest, candidate) =>
        oldest === undefined || candidate.lastUsed < oldest.lastUsed
          ? candidate
          : oldest,
      undefined,
    )?.model;
  }
}
