import type {EvictionPolicy, EvictionCandidate} from '@marigoldspur/eviction';
import type {Arrival} from './trace.js';

/**
 * Evicts the adapter whose next use is furthest in the future, which requires a known
 * trace (Belady, 1966).
 */
export class BeladyEviction implements EvictionPolicy {
  /** Ascending times of use by model, in milliseconds. */
  private readonly useTimes = new Map<string, number[]>();

  constructor(arrivals: readonly Arrival[]) {
    for (const {model, at} of arrivals) {
      const times = this.useTimes.get(model) ?? [];
      times.push(at);
      this.useTimes.set(model, times);
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
      const nextUseAt = this.nextUseAt(model, now);
      if (nextUseAt > furthest) {
        victim = model;
        furthest = nextUseAt;
      }
    }
    return victim;
  }

  /** Time of the first use of the adapter after `now`, in milliseconds; infinite if there is none. */
  private nextUseAt(model: string, now: number): number {
    const times = this.useTimes.get(model) ?? [];
    let low = 0;
    let high = times.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (times[middle] > now) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return times[low] ?? Infinity;
  }
}
