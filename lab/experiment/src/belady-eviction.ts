import type {EvictionPolicy, EvictionCandidate} from '@marigoldspur/eviction';
import type {Arrival} from './trace.js';

/** Evicts the adapter whose next use is furthest away, as only a known trace allows (Belady, 1966). */
export class BeladyEviction implements EvictionPolicy {
  private readonly uses = new Map<string, number[]>();

  constructor(arrivals: readonly Arrival[]) {
    for (const {model, at} of arrivals) {
      const uses = this.uses.get(model) ?? [];
      uses.push(at);
      this.uses.set(model, uses);
    }
  }

  recordUse(): void {}

  inheritUses(): void {}

  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    let victim: string | undefined;
    let furthest = -Infinity;
    for (const {model} of slots) {
      const next = this.nextUse(model, now);
      if (next > furthest) {
        victim = model;
        furthest = next;
      }
    }
    return victim;
  }

  /** When the adapter is used next after `now`, in milliseconds. */
  private nextUse(model: string, now: number): number {
    const uses = this.uses.get(model) ?? [];
    let low = 0;
    let high = uses.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (uses[middle] > now) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return uses[low] ?? Infinity;
  }
}
