import type {QuotaAmount} from '@marigoldspur/deployment';
import {
  reserveUnits,
  USE_WITHIN_MS,
  type QuotaTolerance,
} from './quota-tolerance.js';
import {RecentSum} from './recent-sum.js';

/** Options of an outage reserve. */
export interface OutageReserveOptions {
  readonly tolerance: QuotaTolerance;
  /** When the process of this entry started, in milliseconds. */
  readonly startedAt: number;
}

/**
 * Time for which a number of entries counts, in milliseconds. Entries that are cut off may go on with
 * the parts that they had when they were last counted.
 */
const COUNT_VALID_MS = 600_000;
/** Number of tenants from which those without recent use are forgotten. */
const MAX_TENANTS = 1_024;

/**
 * Units that one entry may use while replicas of control do not answer: an equal part for each entry
 * of half of the slack of each quota, in any window. All times are in milliseconds.
 */
export class OutageReserve {
  private readonly used = new Map<string, RecentSum>();
  private readonly windowMs: number;
  /** Largest number of entries in the present and in the last period, and when the present one began. */
  private counts = {present: 0, last: 0, since: -Infinity};

  constructor(private readonly options: OutageReserveOptions) {
    this.windowMs = options.tolerance.windowMs + USE_WITHIN_MS;
  }

  /** Records how many entries follow control, including this one. */
  recordEntries(count: number, now: number): void {
    if (now - this.counts.since >= COUNT_VALID_MS) {
      const {present} = this.counts;
      this.counts = {present: 0, last: present, since: now};
    }
    this.counts.present = Math.max(this.counts.present, count);
  }

  /** Takes units for a call; whether there are enough. */
  take({amount, tenant}: QuotaAmount, now: number): boolean {
    // Before its start this process may have used its part already.
    if (now - this.options.startedAt < this.windowMs) {
      return false;
    }
    const used = this.usedOf(tenant, now);
    if (used.sum(now) + amount > this.part) {
      return false;
    }
    used.add(amount, now);
    return true;
  }

  /** Puts back units that were not used. */
  putBack({amount, tenant}: QuotaAmount, now: number): void {
    this.used.get(tenant)?.remove(amount, now);
  }

  /** Units for each tenant. */
  private get part(): number {
    const entries = Math.max(this.counts.present, this.counts.last);
    return entries === 0 ? 0 : reserveUnits(this.options.tolerance) / entries;
  }

  private usedOf(tenant: string, now: number): RecentSum {
    const known = this.used.get(tenant);
    if (known !== undefined) {
      return known;
    }
    if (this.used.size >= MAX_TENANTS) {
      this.forgetUnused(now);
    }
    const used = new RecentSum(this.windowMs);
    this.used.set(tenant, used);
    return used;
  }

  private forgetUnused(now: number): void {
    for (const [tenant, used] of this.used) {
      if (used.sum(now) === 0) {
        this.used.delete(tenant);
      }
    }
  }
}
