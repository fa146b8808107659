import {
  DemandAwarePlacement,
  type DemandAwareOptions,
} from './demand-aware-placement.js';
import {HashHomePlacement} from './hash-home-placement.js';
import {LeastLoadedPlacement} from './least-loaded-placement.js';
import type {PlacementPolicy} from './placement-policy.js';
import {RandomPlacement} from './random-placement.js';
import {ResidentFirstPlacement} from './resident-first-placement.js';

/** Name of a placement policy in the settings. */
export type PlacementPolicyName =
  'random' | 'least-loaded' | 'hash-home' | 'resident-first' | 'demand-aware';

/**
 * Creates the placement policy with the given name. Some policies have state,
 * so one instance serves all requests of a service.
 */
export function createPlacementPolicy(
  name: PlacementPolicyName,
  random: () => number,
  options: DemandAwareOptions = {},
): PlacementPolicy {
  switch (name) {
    case 'random':
      return new RandomPlacement(random);
    case 'least-loaded':
      return new LeastLoadedPlacement();
    case 'hash-home':
      return new HashHomePlacement();
    case 'resident-first':
      return new ResidentFirstPlacement();
    case 'demand-aware':
      return new DemandAwarePlacement(options);
  }
}
