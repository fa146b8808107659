import type {Eviction, SlotUse} from './eviction.js';

/** Evicts adapters that take no requests any more before all others. */
export class RetiredFirstEviction implements Eviction {
  /** `eviction` chooses among the retired ones, and among the others where there are none. */
  constructor(
    private readonly eviction: Eviction,
    private readonly isRetired: (model: string) => boolean,
  ) {}

  used(model: string, now: number): void {
    this.eviction.used(model, now);
  }

  succeeded(model: string, predecessor: string, now: number): void {
    this.eviction.succeeded(model, predecessor, now);
  }

  victim(slots: readonly SlotUse[], now: number): string | undefined {
    const retired = slots.filter(({model}) => this.isRetired(model));
    return this.eviction.victim(retired.length > 0 ? retired : slots, now);
  }
}
