/** A target that may serve a request. */
export interface PlacementCandidate {
  readonly name: string;
  readonly zone: string;
  /** Adapters that the target holds, as `adapter@version`. */
  readonly resident: ReadonlySet<string>;
  /** Adapters that the target is loading, as `adapter@version`. */
  readonly loading?: ReadonlySet<string>;
  /** Adapters that are used by running requests, as `adapter@version`. */
  readonly pinned?: ReadonlySet<string>;
  /** Number of adapter slots of the target; 0 for a plain service. */
  readonly slots: number;
  /**
   * Requests that run or wait at the target, including those sent since its
   * last report.
   */
  readonly load: number;
  /** Maximum number of requests that the target runs in one batch. */
  readonly batchLimit: number;
}

/** A request for which a target is chosen. */
export interface PlacementRequest {
  /** Adapter and version, `adapter@version`; undefined for a plain service. */
  readonly model: string | undefined;
  /** Zone of the entry. */
  readonly zone: string;
  /**
   * Share of the prompt that each target is expected to have in its prefix
   * cache, by target name.
   */
  readonly cachedShares?: ReadonlyMap<string, number>;
}

/** Chooses the target of a request. */
export interface PlacementPolicy {
  /**
   * The target to use at time `now`, in milliseconds; undefined if there are no
   * candidates.
   */
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): PlacementCandidate | undefined;
}
