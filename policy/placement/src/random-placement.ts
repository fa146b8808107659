import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';

/** Chooses a random target. */
export class RandomPlacement implements PlacementPolicy {
  /** `random` returns a number in [0, 1). */
  constructor(private readonly random: () => number) {}

  choose(
    _request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
