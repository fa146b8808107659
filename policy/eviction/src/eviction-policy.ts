/** An unpinned adapter in a slot. */
export interface EvictionCandidate {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** When it was last used, in milliseconds. */
  readonly lastUsed: number;
}

/** Chooses the adapter that leaves its slot. */
export interface EvictionPolicy {
  /** Takes note of a use at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void;
  /** Expects as many uses of a new version as of its predecessor. */
  inheritUses(model: string, predecessor: string, now: number): void;
  /** The adapter to evict among unpinned ones; undefined without any. */
  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined;
}
