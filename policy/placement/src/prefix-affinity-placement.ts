import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';

/**
 * Changes a choice to a target that is expected to have more of the prompt in
 * its prefix cache. Both the chosen and the new target must hold the adapter,
 * and the new target must have room in its batch: a hint never causes a load
 * and never overfills a batch.
 */
export class PrefixAffinityPlacement implements PlacementPolicy {
  /**
   * `weight` is how much fuller a batch may be for a completely cached prompt,
   * as a share of its limit.
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
    const {model, cachedShares} = request;
    const hasHints = cachedShares !== undefined && cachedShares.size > 0;
    if (
      !hasHints ||
      model === undefined ||
      chosen?.resident.has(model) !== true
    ) {
      return chosen;
    }
    const cachedShare = ({name}: PlacementCandidate) =>
      cachedShares.get(name) ?? 0;
    const score = (candidate: PlacementCandidate) =>
      this.weight * cachedShare(candidate) -
      candidate.load / candidate.batchLimit;
    return candidates
      .filter(
        candidate =>
          candidate.resident.has(model) &&
          candidate.load < candidate.batchLimit &&
          cachedShare(candidate) > cachedShare(chosen),
      )
      .reduce(
        (best, candidate) =>
          score(candidate) > score(best) ? candidate : best,
        chosen,
      );
  }
}
