import {DemandTable} from '@marigoldspur/demand';
import type {Eviction, SlotUse} from './eviction.js';

/** Options of the eviction by decayed frequency. */
export interface DecayedFrequencyOptions {
  /** After this time a use counts half, in milliseconds. */
  readonly halfLifeMs?: number;
}

const HALF_LIFE_MS = 120_000;
const MAX_MODELS = 8_192;

/** Evicts the adapter with the lowest exponentially decayed use count. */
export class DecayedFrequencyEviction implements Eviction {
  private readonly demand: DemandTable;

  constructor(options: DecayedFrequencyOptions = {}) {
    this.demand = new DemandTable({
      halfLifeMs: options.halfLifeMs ?? HALF_LIFE_MS,
      maxModels: MAX_MODELS,
    });
  }

  used(model: string, now: number): void {
    this.demand.note(model, now);
  }

  succeeded(model: string, predecessor: string): void {
    this.demand.inherit(model, predecessor);
  }

  victim(slots: readonly SlotUse[], now: number): string | undefined {
    return slots
      .map(({model, lastUsed}) => ({
        model,
        lastUsed,
        count: this.demand.count(model, now),
      }))
      .sort((a, b) => a.count - b.count || a.lastUsed - b.lastUsed)[0]?.model;
  }
}
