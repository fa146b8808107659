import {
  createPlacementPolicy,
  type PlacementPolicyName,
} from './create-placement-policy.js';
import type {PlacementPolicy} from './placement-policy.js';
import {PrefixAffinityPlacement} from './prefix-affinity-placement.js';

/** What the settings of a service say about placement. */
export interface PlacementSettings {
  readonly placement: PlacementPolicyName;
  /** Weight of load stalls against batch efficiency: 1 is stalls only. */
  readonly stallWeight: number;
  /** Weight of cached prompt prefixes; 0 for not at all. */
  readonly prefixAffinity: number;
}

interface NamedPlacement {
  readonly settings: PlacementSettings;
  readonly placement: PlacementPolicy;
}

/** One placement for each service, since some keep state; a new one when its settings change. */
export class PlacementPolicyCache {
  private readonly placements = new Map<string, NamedPlacement>();

  /** `random` gives numbers from 0 up to, not including, 1. */
  constructor(private readonly random: () => number) {}

  /** The placement of a service under its settings now in force. */
  policyFor(service: string, settings: PlacementSettings): PlacementPolicy {
    const known = this.placements.get(service);
    if (
      known?.settings.placement === settings.placement &&
      known.settings.stallWeight === settings.stallWeight &&
      known.settings.prefixAffinity === settings.prefixAffinity
    ) {
      return known.placement;
    }
    const {placement: name, prefixAffinity, stallWeight} = settings;
    const inner = createPlacementPolicy(name, this.random, {stallWeight});
    const placement =
      prefixAffinity > 0
        ? new PrefixAffinityPlacement(inner, prefixAffinity)
        : inner;
    this.placements.set(service, {
      settings: {placement: name, prefixAffinity, stallWeight},
      placement,
    });
    return placement;
  }
}
