import {
  createEvictionPolicy,
  type EvictionPolicy,
  type EvictionPolicyName,
  type EvictionCandidate,
} from '@marigoldspur/eviction';

/** Evicts by the policy that the settings name at the moment. */
export class SettingsEviction implements EvictionPolicy {
  private policy: EvictionPolicy;
  private inForce: EvictionPolicyName;

  constructor(private readonly name: () => EvictionPolicyName) {
    this.inForce = name();
    this.policy = createEvictionPolicy(this.inForce);
  }

  recordUse(model: string, now: number): void {
    this.current().recordUse(model, now);
  }

  inheritUses(model: string, predecessor: string, now: number): void {
    this.current().inheritUses(model, predecessor, now);
  }

  chooseVictim(
    slots: readonly EvictionCandidate[],
    now: number,
  ): string | undefined {
    return this.current().chooseVictim(slots, now);
  }

  private current(): EvictionPolicy {
    const name = this.name();
    if (name !== this.inForce) {
      this.inForce = name;
      this.policy = createEvictionPolicy(name);
    }
    return this.policy;
  }
}
