import type {EvictionPolicy} from '@marigoldspur/eviction';

interface Slot {
  readonly model: string;
  /** `distrusted` slots are listed by the target but not served by it. */
  state: 'loading' | 'ready' | 'distrusted';
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

interface Reserved {
  readonly slot: Slot;
  readonly leaving?: Slot;
}

/** The adapter slots of one target. An adapter with a pin is never chosen to leave. */
export class SlotTable {
  private readonly slots = new Map<string, Slot>();
  /** Reservations whose order is not settled, by identity: a reset forgets them. */
  private readonly reserved = new Map<SlotReservation, Reserved>();
  private changes = 0;

  constructor(
    private slotCount: number,
    private readonly eviction: EvictionPolicy,
  ) {}

  /** Slots of the target. */
  get size(): number {
    return this.slotCount;
  }

  /** Empty slots. */
  get free(): number {
    return Math.max(0, this.slotCount - this.slots.size);
  }

  /** Slots that a load could take now: empty, or with an adapter that may leave. */
  get available(): number {
    return this.free + this.unpinned().length;
  }

  /**
   * Whether a new version may be loaded ahead of its first request: its predecessor is
   * held, and it is not the one that would have to leave. The eviction then expects as
   * many uses of it as of its predecessor.
   */
  admitSuccessor(model: string, predecessor: string, now: number): boolean {
    const held = this.slots.get(predecessor)?.state === 'ready';
    if (!held || this.slots.has(model)) {
      return false;
    }
    if (this.free === 0 && this.leaver(now)?.model === predecessor) {
      return false;
    }
    this.eviction.inheritUses(model, predecessor, now);
    return true;
  }

  /** Rises with each change of what is held or loading. */
  get changeCount(): number {
    return this.changes;
  }

  /** Adapters that the target holds. */
  resident(): string[] {
    return [...this.slots.values()]
      .filter(slot => slot.state === 'ready')
      .map(slot => slot.model);
  }

  /** Adapters that requests use. */
  pinned(): string[] {
    return [...this.slots.values()]
      .filter(slot => slot.pins > 0)
      .map(slot => slot.model);
  }

  /** Adapters whose order is not settled. */
  pendingModels(): string[] {
    return [...this.reserved.values()].flatMap(({slot, leaving}) =>
      leaving === undefined ? [slot.model] : [slot.model, leaving.model],
    );
  }

  /** Pins an adapter that the target holds; undefined where it does not. */
  pin(model: string, now: number): Pin | undefined {
    const slot = this.slots.get(model);
    if (slot?.state !== 'ready') {
      return undefined;
    }
    this.eviction.recordUse(model, now);
    return this.hold(slot, now);
  }

  /** Pins an adapter that a request uses, whether or not it may take further ones. */
  pinRunning(model: string, now: number): Pin {
    let slot = this.slots.get(model);
    if (slot === undefined) {
      slot = {model, state: 'distrusted', pins: 0, lastUsed: now};
      this.slots.set(model, slot);
    }
    return this.hold(slot, now);
  }

  /** Pins an adapter for a request that already uses it; undefined where it has no slot. */
  pinExisting(model: string, now: number): Pin | undefined {
    const slot = this.slots.get(model);
    return slot === undefined || slot.state === 'loading'
      ? undefined
      : this.hold(slot, now);
  }

  /**
   * Keeps a slot for a load; undefined while each slot is pinned or loading, or
   * while the adapter has a slot or is leaving one.
   */
  reserve(model: string, now: number): SlotReservation | undefined {
    const known = this.slots.get(model);
    if (
      known !== undefined &&
      (known.state !== 'distrusted' || known.pins > 0)
    ) {
      return undefined;
    }
    if (this.pendingModels().includes(model)) {
      return undefined;
    }
    const leaving = known ?? this.leaver(now);
    if (this.free === 0 && leaving === undefined) {
      return undefined;
    }
    if (leaving !== undefined) {
      this.slots.delete(leaving.model);
    }
    const slot: Slot = {model, state: 'loading', pins: 0, lastUsed: now};
    this.slots.set(model, slot);
    const reservation = {model, evict: leaving?.model};
    this.reserved.set(reservation, {slot, leaving});
    this.changes += 1;
    return reservation;
  }

  /** Marks a reserved adapter as held by the target; false after a reset. */
  completeLoad(reservation: SlotReservation, now: number): boolean {
    const reserved = this.settle(reservation);
    if (reserved === undefined) {
      return false;
    }
    reserved.slot.state = 'ready';
    reserved.slot.lastUsed = now;
    return true;
  }

  /** Gives a reservation back; `evictHeld` says whether the target still holds the adapter that was to leave. */
  cancel(reservation: SlotReservation, evictHeld: boolean): void {
    const reserved = this.settle(reservation);
    if (reserved === undefined) {
      return;
    }
    this.slots.delete(reserved.slot.model);
    if (evictHeld && reserved.leaving !== undefined) {
      this.slots.set(reserved.leaving.model, reserved.leaving);
    }
  }

  /** Takes no further requests on an adapter that the target lists but does not serve. */
  distrust(model: string): void {
    const slot = this.slots.get(model);
    if (slot?.state === 'ready') {
      slot.state = 'distrusted';
    }
  }

  /** Takes note that the target has no more slots than are in use. */
  shrinkToUsed(): void {
    this.slotCount = Math.max(1, Math.min(this.slotCount, this.slots.size));
  }

  /** Brings the view in line with what the target lists, apart from unsettled orders. */
  reconcile(listed: readonly string[], now: number): void {
    const unsettled = new Set(this.pendingModels());
    for (const slot of [...this.slots.values()]) {
      const gone = !listed.includes(slot.model) && !unsettled.has(slot.model);
      if (gone && slot.pins === 0) {
        this.slots.delete(slot.model);
      } else if (gone) {
        slot.state = 'distrusted';
      }
    }
    for (const model of listed) {
      if (!this.slots.has(model) && !unsettled.has(model)) {
        this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
      }
    }
  }

  /** Takes over what the target says it holds, as after a restart of either. */
  reset(slotCount: number, resident: readonly string[], now: number): void {
    this.slotCount = slotCount;
    this.slots.clear();
    this.reserved.clear();
    this.changes += 1;
    for (const model of resident) {
      this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
    }
  }

  private hold(slot: Slot, now: number): Pin {
    slot.pins += 1;
    slot.lastUsed = now;
    let held = true;
    return {
      model: slot.model,
      release: at => {
        if (held) {
          held = false;
          slot.pins -= 1;
          slot.lastUsed = at;
        }
      },
    };
  }

  private settle(reservation: SlotReservation): Reserved | undefined {
    const reserved = this.reserved.get(reservation);
    this.reserved.delete(reservation);
    this.changes += 1;
    return reserved;
  }

  /** The slot to empty for a load; undefined where one is free or none may leave. */
  private leaver(now: number): Slot | undefined {
    const unpinned = this.unpinned();
    const distrusted = unpinned.find(slot => slot.state === 'distrusted');
    if (distrusted !== undefined) {
      return distrusted;
    }
    if (this.free > 0) {
      return undefined;
    }
    const victim = this.eviction.chooseVictim(unpinned, now);
    return victim === undefined ? undefined : this.slots.get(victim);
  }

  private unpinned(): Slot[] {
    return [...this.slots.values()].filter(
      slot => slot.state !== 'loading' && slot.pins === 0,
    );
  }
}
