export type {
  PlacementCandidate,
  PlacementPolicy,
  PlacementRequest,
} from './placement-policy.js';
export {
  DemandAwarePlacement,
  type DemandAwareOptions,
} from './demand-aware-placement.js';
export {HashHomePlacement} from './hash-home-placement.js';
export {LeastLoadedPlacement} from './least-loaded-placement.js';
export {PrefixAffinityPlacement} from './prefix-affinity-placement.js';
export {RandomPlacement} from './random-placement.js';
export {rendezvousOrder, rendezvousRanks} from './rendezvous.js';
export {ResidentFirstPlacement} from './resident-first-placement.js';
export {
  createPlacementPolicy,
  type PlacementPolicyName,
} from './create-placement-policy.js';
export {
  PlacementPolicyCache,
  type PlacementSettings,
} from './placement-policy-cache.js';
