import {UseRateEstimator} from '@marigoldspur/demand';
import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Options of the eviction by expected rate. */
export interface ExpectedRateOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs?: number;
}

const HALF_LIFE_MS = 300_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter whose next use is expected last. */
export class ExpectedRateEviction implements EvictionPolicy {
  private readonly rates: UseRateEstimator;

  constructor(options: ExpectedRateOptions = {}) {
    this.rates = new UseRateEstimator({
      halfLifeMs: options.halfLifeMs ?? HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  recordUse(model: string, now: number): void {
    this.rates.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string, now: number): void {
    this.rates.inheritHistory(model, predecessor, now);
  }

  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    return slots
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        rate: this.rates.rate(model, now),
      }))
      .sort((a, b) => a.rate - b.rate || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
