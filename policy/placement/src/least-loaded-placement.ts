import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';

/**
 * Chooses the target with the lowest batch fill; the entry's own zone breaks
 * ties.
 */
export class LeastLoadedPlacement implements PlacementPolicy {
  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return candidates.reduce<PlacementCandidate | undefined>(
      (best, candidate) =>
        best === undefined || isBetter(candidate, best, request.zone)
          ? candidate
          : best,
      undefined,
    );
  }
}

function isBetter(
  candidate: PlacementCandidate,
  best: PlacementCandidate,
  zone: string,
) {
  const difference = batchFill(candidate) - batchFill(best);
  if (difference !== 0) {
    return difference < 0;
  }
  return candidate.zone === zone && best.zone !== zone;
}

function batchFill(candidate: PlacementCandidate): number {
  return candidate.load / candidate.batchLimit;
}
