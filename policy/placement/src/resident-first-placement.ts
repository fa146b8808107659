import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';
import {rendezvousOrder} from './rendezvous.js';

/**
 * Chooses a target that holds the adapter and has room; otherwise the adapter's
 * home.
 */
export class ResidentFirstPlacement implements PlacementPolicy {
  private readonly leastLoaded = new LeastLoadedPlacement();

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    const {model} = request;
    if (model === undefined) {
      return this.leastLoaded.choose(request, candidates);
    }
    const holders = candidates.filter(
      candidate =>
        candidate.resident.has(model) && candidate.load < candidate.batchLimit,
    );
    if (holders.length > 0) {
      return this.leastLoaded.choose(request, holders);
    }
    return rendezvousOrder(model, candidates)[0];
  }
}
