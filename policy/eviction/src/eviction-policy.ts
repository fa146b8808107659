/** An unpinned adapter in a slot, which may be evicted. */
export interface EvictionCandidate {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** When it was last used, in milliseconds. */
  readonly lastUsed: number;
}

/** Chooses the adapter to evict from its slot. */
export interface EvictionPolicy {
  /** Records a use at time `now`, in milliseconds. */
  recordUse(model: string, now: number): void;
  /** Lets a new version start with the use history of its predecessor. */
  inheritUses(model: string, predecessor: string, now: number): void;
  /** Chooses the adapter to evict; undefined if there are no candidates. */
  chooseVictim(
    candidates: readonly EvictionCandidate[],
    now: number,
  ): string | undefined;
}
