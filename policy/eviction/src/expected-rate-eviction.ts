import {UseRateEstimator} from '@marigoldspur/adapter-use-rates';
import type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';

/** Options of eviction by expected rate. */
export interface ExpectedRateOptions {
  /** Half-life of a use, in milliseconds. */
  readonly halfLifeMs?: number;
}

const DEFAULT_HALF_LIFE_MS = 300_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter whose next use is expected last. */
export class ExpectedRateEviction implements EvictionPolicy {
  private readonly rateEstimator: UseRateEstimator;

  constructor(options: ExpectedRateOptions = {}) {
    this.rateEstimator = new UseRateEstimator({
      halfLifeMs: options.halfLifeMs ?? DEFAULT_HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  recordUse(model: string, now: number): void {
    this.rateEstimator.recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string, now: number): void {
    this.rateEstimator.inheritHistory(model, predecessor, now);
  }

  chooseVictim(
    candidates: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    return candidates
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        rate: this.rateEstimator.rate(model, now),
      }))
      .sort((a, b) => a.rate - b.rate || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
