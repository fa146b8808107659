import {DecayedUseCounter} from '@marigoldspur/demand';
import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Options of the eviction by decayed frequency. */
export interface DecayedFrequencyOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs?: number;
}

const HALF_LIFE_MS = 120_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter with the lowest exponentially decayed use count. */
export class DecayedFrequencyEviction implements EvictionPolicy {
  private readonly demand: DecayedUseCounter;

  constructor(options: DecayedFrequencyOptions = {}) {
    this.demand = new DecayedUseCounter({
      halfLifeMs: options.halfLifeMs ?? HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  recordUse(model: string, now: number): void {
    this.demand.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string): void {
    this.demand.inheritCount(model, predecessor);
  }

  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    return slots
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        count: this.demand.count(model, now),
      }))
      .sort((a, b) => a.count - b.count || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
