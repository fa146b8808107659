import type {EvictionPolicy} from '@marigoldspur/eviction';

interface Slot {
  readonly model: string;
  /** A `distrusted` adapter is not pinned for new requests, because the target may not serve it. */
  state: 'loading' | 'ready' | 'distrusted';
  pins: number;
  lastUsed: number;
}

/** Keeps an adapter in its slot until the pin is released. */
export interface Pin {
  readonly model: string;
  /**
   * Releases the pin at time `now`, in milliseconds. Further calls have no
   * effect.
   */
  release(now: number): void;
}

/** A slot reserved for a load. */
export interface SlotReservation {
  readonly model: string;
  /** The adapter to evict before the load. */
  readonly evict?: string;
}

interface PendingOrder {
  readonly slot: Slot;
  readonly evicted?: Slot;
}

/**
 * Tracks the adapter slots of one target. A pinned adapter is never selected
 * for eviction.
 */
export class SlotTable {
  private readonly slots = new Map<string, Slot>();
  /**
   * Reservations whose order is pending, keyed by identity. A reset discards
   * them.
   */
  private readonly pending = new Map<SlotReservation, PendingOrder>();
  private changes = 0;

  constructor(
    private slotCount: number,
    private readonly eviction: EvictionPolicy,
  ) {}

  /** Number of slots of the target. */
  get size(): number {
    return this.slotCount;
  }

  /** Number of slots that hold no adapter. */
  get free(): number {
    return Math.max(0, this.slotCount - this.slots.size);
  }

  /**
   * Number of slots that a load could use now: empty ones and those with an
   * evictable adapter.
   */
  get available(): number {
    return this.free + this.unpinned().length;
  }

  /**
   * Whether a new version may be loaded before its first request: its
   * predecessor is resident and would not have to be evicted for it. If so, the
   * eviction policy expects the new version to be used as often as its
   * predecessor.
   */
  admitSuccessor(model: string, predecessor: string, now: number): boolean {
    const isResident = this.slots.get(predecessor)?.state === 'ready';
    if (!isResident || this.slots.has(model)) {
      return false;
    }
    if (this.free === 0 && this.selectVictim(now)?.model === predecessor) {
      return false;
    }
    this.eviction.inheritUses(model, predecessor, now);
    return true;
  }

  /** Incremented with each change to the resident or loading adapters. */
  get changeCount(): number {
    return this.changes;
  }

  /** Adapters that are resident on the target. */
  resident(): string[] {
    return [...this.slots.values()]
      .filter(slot => slot.state === 'ready')
      .map(slot => slot.model);
  }

  /** Adapters in use by requests. */
  pinned(): string[] {
    return [...this.slots.values()]
      .filter(slot => slot.pins > 0)
      .map(slot => slot.model);
  }

  /** Adapters with a pending load or eviction. */
  pendingModels(): string[] {
    return [...this.pending.values()].flatMap(({slot, evicted}) =>
      evicted === undefined ? [slot.model] : [slot.model, evicted.model],
    );
  }

  /** Pins a resident adapter; returns undefined if it is not resident. */
  pin(model: string, now: number): Pin | undefined {
    const slot = this.slots.get(model);
    if (slot?.state !== 'ready') {
      return undefined;
    }
    this.eviction.recordUse(model, now);
    return this.addPin(slot, now);
  }

  /**
   * Pins an adapter for a request that is already running on the target, even
   * if the adapter has no slot here or accepts no new requests.
   */
  pinRunning(model: string, now: number): Pin {
    let slot = this.slots.get(model);
    if (slot === undefined) {
      slot = {model, state: 'distrusted', pins: 0, lastUsed: now};
      this.slots.set(model, slot);
    }
    return this.addPin(slot, now);
  }

  /**
   * Pins an adapter for a request that already uses it; returns undefined if
   * the adapter has no slot or is still loading.
   */
  pinExisting(model: string, now: number): Pin | undefined {
    const slot = this.slots.get(model);
    return slot === undefined || slot.state === 'loading'
      ? undefined
      : this.addPin(slot, now);
  }

  /**
   * Reserves a slot for a load. Returns undefined if every slot is pinned or
   * loading, or if the adapter already has a slot or is being evicted.
   */
  reserve(model: string, now: number): SlotReservation | undefined {
    const existing = this.slots.get(model);
    if (
      existing !== undefined &&
      (existing.state !== 'distrusted' || existing.pins > 0)
    ) {
      return undefined;
    }
    if (this.pendingModels().includes(model)) {
      return undefined;
    }
    const evicted = existing ?? this.selectVictim(now);
    if (this.free === 0 && evicted === undefined) {
      return undefined;
    }
    if (evicted !== undefined) {
      this.slots.delete(evicted.model);
    }
    const slot: Slot = {model, state: 'loading', pins: 0, lastUsed: now};
    this.slots.set(model, slot);
    const reservation = {model, evict: evicted?.model};
    this.pending.set(reservation, {slot, evicted});
    this.changes += 1;
    return reservation;
  }

  /**
   * Marks the adapter of a reservation as resident; returns false if the table
   * was reset in the meantime.
   */
  completeLoad(reservation: SlotReservation, now: number): boolean {
    const pending = this.removePending(reservation);
    if (pending === undefined) {
      return false;
    }
    pending.slot.state = 'ready';
    pending.slot.lastUsed = now;
    return true;
  }

  /**
   * Cancels a reservation. `evictHeld` indicates whether the adapter to evict
   * is still resident on the target.
   */
  cancel(reservation: SlotReservation, evictHeld: boolean): void {
    const pending = this.removePending(reservation);
    if (pending === undefined) {
      return;
    }
    this.slots.delete(pending.slot.model);
    if (evictHeld && pending.evicted !== undefined) {
      this.slots.set(pending.evicted.model, pending.evicted);
    }
  }

  /**
   * Stops new requests for an adapter that the target lists but does not serve.
   */
  distrust(model: string): void {
    const slot = this.slots.get(model);
    if (slot?.state === 'ready') {
      slot.state = 'distrusted';
    }
  }

  /**
   * Reduces the number of slots to those in use, because the target has no
   * others.
   */
  shrinkToUsed(): void {
    this.slotCount = Math.max(1, Math.min(this.slotCount, this.slots.size));
  }

  /**
   * Updates the table to the adapters that the target lists, except for those
   * with pending orders.
   */
  reconcile(listed: readonly string[], now: number): void {
    const pendingModels = new Set(this.pendingModels());
    for (const slot of [...this.slots.values()]) {
      const isMissing =
        !listed.includes(slot.model) && !pendingModels.has(slot.model);
      if (isMissing && slot.pins === 0) {
        this.slots.delete(slot.model);
      } else if (isMissing) {
        slot.state = 'distrusted';
      }
    }
    for (const model of listed) {
      if (!this.slots.has(model) && !pendingModels.has(model)) {
        this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
      }
    }
  }

  /**
   * Replaces the contents with the state that the target reports, for example
   * after the target or the agent restarted.
   */
  reset(slotCount: number, resident: readonly string[], now: number): void {
    this.slotCount = slotCount;
    this.slots.clear();
    this.pending.clear();
    this.changes += 1;
    for (const model of resident) {
      this.slots.set(model, {model, state: 'ready', pins: 0, lastUsed: now});
    }
  }

  private addPin(slot: Slot, now: number): Pin {
    slot.pins += 1;
    slot.lastUsed = now;
    let isActive = true;
    return {
      model: slot.model,
      release: releasedAt => {
        if (isActive) {
          isActive = false;
          slot.pins -= 1;
          slot.lastUsed = releasedAt;
        }
      },
    };
  }

  private removePending(
    reservation: SlotReservation,
  ): PendingOrder | undefined {
    const pending = this.pending.get(reservation);
    this.pending.delete(reservation);
    this.changes += 1;
    return pending;
  }

  /**
   * Selects the slot to empty for a load; undefined if a slot is free or no
   * adapter may be evicted.
   */
  private selectVictim(now: number): Slot | undefined {
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
