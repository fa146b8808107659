export type {Candidate, Placement, PlacementRequest} from './placement.js';
export {
  DemandAwarePlacement,
  type DemandAwareOptions,
} from './demand-aware-placement.js';
export {HashHomePlacement} from './hash-home-placement.js';
export {LeastLoadedPlacement} from './least-loaded-placement.js';
export {PrefixAffinityPlacement} from './prefix-affinity-placement.js';
export {RandomPlacement} from './random-placement.js';
export {rendezvousOrder} from './rendezvous.js';
export {ResidentFirstPlacement} from './resident-first-placement.js';
export {createPlacement, type PlacementName} from './create-placement.js';
export {PlacementSet, type PlacementSettings} from './placement-set.js';
