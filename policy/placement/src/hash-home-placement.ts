import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';
import {rendezvousOrder} from './rendezvous.js';

/** Assigns each adapter one home by rendezvous hashing. */
export class HashHomePlacement implements PlacementPolicy {
  private readonly leastLoaded = new LeastLoadedPlacement();

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    if (request.model === undefined) {
      return this.leastLoaded.choose(request, candidates);
    }
    return rendezvousOrder(request.model, candidates)[0];
  }
}
