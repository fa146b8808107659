import {DecayedUseCounter} from '@marigoldspur/adapter-use-rates';
import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Options of eviction by decayed frequency. */
export interface DecayedFrequencyOptions {
  /** Half-life of a use, in milliseconds. */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 120_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter with the lowest exponentially decayed use count. */
export class DecayedFrequencyEviction implements EvictionPolicy {
  private readonly useCounter: DecayedUseCounter;

  constructor(options: DecayedFrequencyOptions = {}) {
    this.useCounter = new DecayedUseCounter({
      halfLifeMs: options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  recordUse(model: string, now: number): void {
    this.useCounter.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string): void {
    this.useCounter.inheritCount(model, predecessor);
  }

  chooseVictim(
    candidates: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    return candidates
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        count: this.useCounter.count(model, now),
      }))
      .sort((a, b) => a.count - b.count || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
