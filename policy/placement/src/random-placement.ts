import type {Candidate, Placement, PlacementRequest} from './placement.js';

/** Chooses any target. */
export class RandomPlacement implements Placement {
  /** `random` gives numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  choose(
    _request: PlacementRequest,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    return candidates[Math.floor(this.random() * candidates.length)];
  }
}
