/** A target that may serve a request. */
export interface PlacementCandidate {
  readonly name: string;
  readonly zone: string;
  /** Adapters that the target holds, as `adapter@version`. */
  readonly resident: ReadonlySet<string>;
  /** Adapters that the target is loading, as `adapter@version`. */
  readonly loading?: ReadonlySet<string>;
  /** Adapters that requests use at present, as `adapter@version`. */
  readonly pinned?: ReadonlySet<string>;
  /** Adapter slots of the target; 0 for a plain service. */
  readonly slots: number;
  /** Requests that run or wait there, with those sent since its last report. */
  readonly load: number;
  /** Requests that the target runs in one batch at most. */
  readonly batchLimit: number;
}

/** What is placed. */
export interface PlacementRequest {
  /** Adapter and version, `adapter@version`; undefined for a plain service. */
  readonly model: string | undefined;
  /** Zone of the entry. */
  readonly zone: string;
  /** Share of the prompt that targets are said to hold in their prefix cache, by their names. */
  readonly prefixes?: ReadonlyMap<string, number>;
}

/** Chooses the target of a request. */
export interface PlacementPolicy {
  /** The target to use at time `now`, in milliseconds; undefined without candidates. */
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): PlacementCandidate | undefined;
}
