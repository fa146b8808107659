import {
  createEvictionPolicy,
  type EvictionPolicy,
  type EvictionPolicyName,
  type EvictionCandidate,
} from '@marigoldspur/eviction';

/** Evicts by the policy that is currently configured in the settings. */
export class SettingsEviction implements EvictionPolicy {
  private policy: EvictionPolicy;
  private currentName: EvictionPolicyName;

  constructor(private readonly name: () => EvictionPolicyName) {
    this.currentName = name();
    this.policy = createEvictionPolicy(this.currentName);
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
    if (name !== this.currentName) {
      this.currentName = name;
      this.policy = createEvictionPolicy(name);
    }
    return this.policy;
  }
}
