import type {Eviction} from '@marigoldspur/eviction';

interface Slot {
  readonly model: string;
  state: 'loading' | 'ready';
  pins: number;
  lastUsed: number;
}

/** Holds an adapter in its slot until it is released. */
export interface Pin {
  readonly model: string;
  /** Releases the pin at time `now`, in milliseconds; a second call does nothing. */
  release(now: number): void;
}

/** A slot kept for a load. */
export interface SlotReservation {
  readonly model: string;
  /** The adapter that has to leave first. */
  readonly evict?: string;
}

/** The adapter slots of one target. An adapter with a pin is never chosen to leave. */
export class SlotTable {
  private readonly slots = new Map<string, Slot>();

  constructor(
    private slotCount: number,
    private readonly eviction: Eviction,
  ) {}

  /** Slots of the target. */
  get size(): number {
    return this.slotCount;
  }

  /** Adapters that the target holds. */
  resident(): string[] {
    return [...this.slots.values()]
      .filter(slot => slot.state === 'ready')
      .map(slot => slot.model);
  }

  /** Pins an adapter that the target holds; undefined where it does not. */
  pin(model: string, now: number): Pin | undefined {
    const slot = this.slots.get(model);
    if (slot?.state !== 'ready') {
      return undefined;
    }
    slot.pins += 1;
    slot.lastUsed = now;
    this.eviction.used(model, now);
    let held = true;
    return {
      model,
      release: at => {
        if (held) {
          held = false;
          slot.pins -= 1;
          slot.lastUsed = at;
        }
      },
    };
  }

  /** Keeps a slot for a load; undefined while each slot is pinned or loading. */
  reserve(model: string, now: number): SlotReservation | undefined {
    const free = this.slots.size < this.slotCount;
    const evict = free ? undefined : this.victim(now);
    if (!free && evict === undefined) {
      return undefined;
    }
    if (evict !== undefined) {
      this.slots.delete(evict);
    }
    this.slots.set(model, {model, state: 'loading', pins: 0, lastUsed: now});
    return {model, evict};
  }

  /** Marks a reserved adapter as held by the target. */
  loaded(model: string, now: number): void {
    const slot = this.slots.get(model);
    if (slot !== undefined) {
      slot.state = 'ready';
      slot.lastUsed = now;
    }
  }

  /** Frees the slot of an adapter that the target does not hold. */
  drop(model: string): void {
    this.slots.delete(model);
  }

  /** Puts an adapter back that was to leave but did not. */
  restore(model: string, now: number): void {
    this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
  }

  /** Takes over what the target says it holds, as after a restart of either. */
  reset(slotCount: number, resident: readonly string[], now: number): void {
    this.slotCount = slotCount;
    this.slots.clear();
    for (const model of resident) {
      this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
    }
  }

  private victim(now: number): string | undefined {
    const unpinned = [...this.slots.values()].filter(
      slot => slot.state === 'ready' && slot.pins === 0,
    );
    return this.eviction.victim(unpinned, now);
  }
}
