import {RateTable} from '@marigoldspur/demand';
import type {Eviction, SlotUse} from './eviction.js';

/** Options of the eviction by expected rate. */
export interface ExpectedRateOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs?: number;
}

const HALF_LIFE_MS = 300_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter whose next use is expected last. */
export class ExpectedRateEviction implements Eviction {
  private readonly rates: RateTable;

  constructor(options: ExpectedRateOptions = {}) {
    this.rates = new RateTable({
      halfLifeMs: options.halfLifeMs ?? HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  used(model: string, now: number): void {
    this.rates.note(model, now);
  }

  succeeded(model: string, predecessor: string, now: number): void {
    this.rates.inherit(model, predecessor, now);
  }

  victim(slots: readonly SlotUse[], now: number): string | undefined {
    return slots
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        rate: this.rates.rate(model, now),
      }))
      .sort((a, b) => a.rate - b.rate || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
