import {
  createPlacementPolicy,
  type PlacementPolicyName,
} from './create-placement-policy.js';
import type {PlacementPolicy} from './placement-policy.js';
import {PrefixAffinityPlacement} from './prefix-affinity-placement.js';

/** Placement settings of a service. */
export interface PlacementSettings {
  readonly placement: PlacementPolicyName;
  /**
   * Weight of load stalls relative to batch efficiency; at 1 only stalls count.
   */
  readonly stallWeight: number;
  /** Weight of cached prompt prefixes; 0 disables them. */
  readonly prefixAffinity: number;
}

interface CachedPolicy {
  readonly settings: PlacementSettings;
  readonly policy: PlacementPolicy;
}

/**
 * Keeps one placement policy per service, because some have state. A policy is
 * replaced when its settings change.
 */
export class PlacementPolicyCache {
  private readonly policies = new Map<string, CachedPolicy>();

  /** `random` returns a number in [0, 1). */
  constructor(private readonly random: () => number) {}

  /** The placement policy of a service under its effective settings. */
  policyFor(service: string, settings: PlacementSettings): PlacementPolicy {
    const cached = this.policies.get(service);
    if (
      cached?.settings.placement === settings.placement &&
      cached.settings.stallWeight === settings.stallWeight &&
      cached.settings.prefixAffinity === settings.prefixAffinity
    ) {
      return cached.policy;
    }
    const {placement: name, prefixAffinity, stallWeight} = settings;
    const inner = createPlacementPolicy(name, this.random, {stallWeight});
    const policy =
      prefixAffinity > 0
        ? new PrefixAffinityPlacement(inner, prefixAffinity)
        : inner;
    this.policies.set(service, {
      settings: {placement: name, prefixAffinity, stallWeight},
      policy,
    });
    return policy;
  }
}
