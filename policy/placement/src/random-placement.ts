import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';

/** Chooses any target. */
export class RandomPlacement implements PlacementPolicy {
  /** `random` gives numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  choose(
    _request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
