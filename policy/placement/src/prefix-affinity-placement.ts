import type {Candidate, Placement, PlacementRequest} from './placement.js';

/**
 * Moves a choice to a target that is said to hold more of the prompt in its prefix
 * cache. Only a target that holds the adapter and has room in its batch is moved to,
 * and only from one that holds it too: a hint costs no load and fills no full batch.
 */
export class PrefixAffinityPlacement implements Placement {
  /**
   * `weight` is how much fuller a batch may be for a whole cached prompt, as a share
   * of its limit.
   */
  constructor(
    private readonly inner: Placement,
    private readonly weight: number,
  ) {}

  choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    now: number,
  ): Candidate | undefined {
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
    const share = ({name}: Candidate) => prefixes.get(name) ?? 0;
    const worth = (candidate: Candidate) =>
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
