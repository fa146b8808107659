import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {Candidate, Placement, PlacementRequest} from './placement.js';
import {rendezvousOrder} from './rendezvous.js';

/** Gives each adapter one home by rendezvous hashing. */
export class HashHomePlacement implements Placement {
  private readonly fallback = new LeastLoadedPlacement();

  choose(
    request: PlacementRequest,
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    if (request.model === undefined) {
      return this.fallback.choose(request, candidates);
    }
    return rendezvousOrder(request.model, candidates)[0];
  }
}
