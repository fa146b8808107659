import type {Eviction, SlotUse} from './eviction.js';

interface Count {
  value: number;
  at: number;
}

const HALF_LIFE_MS = 60_000;
const MAX_COUNTS = 8_192;

/** Evicts the adapter with the lowest exponentially decayed use count. */
export class DecayedFrequencyEviction implements Eviction {
  private readonly counts = new Map<string, Count>();

  used(model: string, now: number): void {
    const value = this.valueOf(model, now) + 1;
    this.counts.delete(model);
    this.counts.set(model, {value, at: now});
    this.dropOldest();
  }

  victim(slots: readonly SlotUse[], now: number): string | undefined {
    return slots
      .map(slot => ({model: slot.model, value: this.valueOf(slot.model, now)}))
      .sort((a, b) => a.value - b.value)[0]?.model;
  }

  private valueOf(model: string, now: number): number {
    const count = this.counts.get(model);
    if (count === undefined) {
      return 0;
    }
    return count.value * 2 ** (-(now - count.at) / HALF_LIFE_MS);
  }

  private dropOldest(): void {
    if (this.counts.size > MAX_COUNTS) {
      const [oldest] = this.counts.keys();
      this.counts.delete(oldest);
    }
  }
}
