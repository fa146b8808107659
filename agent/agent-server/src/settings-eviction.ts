import {
  createEviction,
  type Eviction,
  type EvictionName,
  type SlotUse,
} from '@marigoldspur/eviction';

/** Evicts by the policy that the settings name at the moment. */
export class SettingsEviction implements Eviction {
  private policy: Eviction;
  private inForce: EvictionName;

  constructor(private readonly name: () => EvictionName) {
    this.inForce = name();
    this.policy = createEviction(this.inForce);
  }

  used(model: string, now: number): void {
    this.current().used(model, now);
  }

  succeeded(model: string, predecessor: string, now: number): void {
    this.current().succeeded(model, predecessor, now);
  }

  victim(slots: readonly SlotUse[], now: number): string | undefined {
    return this.current().victim(slots, now);
  }

  private current(): Eviction {
    const name = this.name();
    if (name !== this.inForce) {
      this.inForce = name;
      this.policy = createEviction(name);
    }
    return this.policy;
  }
}
