/** A load that waits for a permit. */
export interface PendingLoad {
  /** Adapter and version, `adapter@version`. */
  readonly model: string;
  /** When the load was requested, in milliseconds. */
  readonly askedAt: number;
  /** Requests that wait for the load; 0 for a prefetch. */
  readonly waiters: number;
  /** Priority of the most urgent waiter; 0 is served first. */
  readonly priority: number;
}

/** Chooses the next load from a weight store. */
export interface LoadOrder {
  /**
   * The load to run at time `now`, in milliseconds; undefined if none waits.
   */
  next<Load extends PendingLoad>(
    loads: readonly Load[],
    now: number,
  ): Load | undefined;
  /** All loads in the order in which they would run if no others were added. */
  sort<Load extends PendingLoad>(loads: readonly Load[], now: number): Load[];
}
