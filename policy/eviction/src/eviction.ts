/** An unpinned adapter in a slot. */
export interface SlotUse {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** When it was last used, in milliseconds. */
  readonly lastUsed: number;
}

/** Chooses the adapter that leaves its slot. */
export interface Eviction {
  /** Takes note of a use at time `now`, in milliseconds. */
  used(model: string, now: number): void;
  /** Expects as many uses of a new version as of its predecessor. */
  succeeded(model: string, predecessor: string, now: number): void;
  /** The adapter to evict among unpinned ones; undefined without any. */
  victim(slots: readonly SlotUse[], now: number): string | undefined;
}
