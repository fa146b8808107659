import type {Eviction, SlotUse} from './eviction.js';

/** Evicts the adapter that was used least recently. */
export class LruEviction implements Eviction {
  used(): void {}

  succeeded(): void {}

  victim(slots: readonly SlotUse[]): string | undefined {
    return slots.reduce<SlotUse | undefined>(
      (oldest, slot) =>
        oldest === undefined || slot.lastUsed < oldest.lastUsed ? slot : oldest,
      undefined,
    )?.model;
  }
}
