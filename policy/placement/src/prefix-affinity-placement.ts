import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';

/**
 * Moves a choice to a target that is said to hold more of the prompt in its prefix
 * cache. Only a target that holds the adapter and has room in its batch is moved to,
 * and only from one that holds it too: a hint costs no load and fills no full batch.
 */
export class PrefixAffinityPlacement implements PlacementPolicy {
  /**
   * `weight` is how much fuller a batch may be for a whole cached prompt, as a share
   * of its limit.
   */
  constructor(
    private readonly inner: PlacementPolicy,
    private readonly weight: number,
  ) {}

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
    now: number,
  ): PlacementCandidate | undefined {
    const chosen = this.inner.choose(request, candidates, now);
    const {model, prefixes} = request;
    const hinted = prefixes !== undefined && prefixes.size > 0;
    if (
      !hinted ||
      model === undefined ||
      chosen?.resident.has(model) !== true
    ) {
      return chosen;
    }
    const share = ({name}: PlacementCandidate) => prefixes.get(name) ?? 0;
    const worth = (candidate: PlacementCandidate) =>
      this.weight * share(candidate) - candidate.load / candidate.batchLimit;
    return candidates
      .filter(
        candidate =>
          candidate.resident.has(model) &&
          candidate.load < candidate.batchLimit &&
          share(candidate) > share(chosen),
      )
      .reduce(
        (best, candidate) =>
          worth(candidate) > worth(best) ? candidate : best,
        chosen,
      );
  }
}
