import type {Candidate, Placement, PlacementRequest} from './placement.js';

/** Chooses the target with the least load for its batch, in the entry's zone where equal. */
export class LeastLoadedPlacement implements Placement {
  choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    return candidates.reduce<Candidate | undefined>(
      (best, candidate) =>
        best === undefined || isBetter(candidate, best, request.zone)
          ? candidate
          : best,
      undefined,
    );
  }
}

function isBetter(candidate: Candidate, best: Candidate, zone: string) {
  const difference = fill(candidate) - fill(best);
  if (difference !== 0) {
    return difference < 0;
  }
  return candidate.zone === zone && best.zone !== zone;
}

function fill(candidate: Candidate): number {
  return candidate.load / candidate.batchLimit;
}
