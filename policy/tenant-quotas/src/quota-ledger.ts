import type {
  Quota,
  QuotaAmount,
  QuotaAnswer,
  QuotaDecision,
  QuotaGrantRequest,
  QuotaRequest,
  Tenant,
} from '@marigoldspur/deployment';
import {spareUnits, type QuotaTolerance} from './quota-tolerance.js';
import {TokenBucket, type BucketFigures} from './token-bucket.js';

/** The replicas of control, as one of them knows them. */
export interface ReplicaGroup {
  /** Base URL of this replica; undefined if it is not known. */
  readonly ownUrl: string | undefined;
  /** Base URLs of all replicas. */
  readonly urls: readonly string[];
}

/** Options of a quota ledger. */
export interface QuotaLedgerOptions {
  readonly tolerance: QuotaTolerance;
  readonly group: ReplicaGroup;
}

/** What a replica knows about one tenant. */
interface Account {
  quota: Quota | undefined;
  readonly bucket: TokenBucket;
}

/** A larger share of the quotas that does not count yet. */
interface PendingShare {
  readonly share: number;
  readonly from: number;
}

/**
 * Time after a change of the replicas after which a larger share counts, in milliseconds. Replicas
 * that do not know of the change may grant by their old share for as long as a quorum barrier is
 * valid (2 s).
 */
const TAKEOVER_MS = 2_500;
/** Share of the spare by which the buckets exceed the burst; the rest is for returned units. */
const BURST_SHARE = 0.5;
/**
 * Wait that is stated for an amount that no number of replicas can grant, in milliseconds. Such a
 * call is refused until the quota is raised, so callers need not come back soon.
 */
const NEVER_MS = 60_000;
const MS_PER_SECOND = 1_000;

/**
 * Decides the grants of one replica of control, which has an equal share of the quota of each tenant:
 * a token bucket that starts empty. The sum over all replicas stays within the quota, whichever of
 * them are lost, cut off or restarted, and they need not agree. All times are in milliseconds.
 */
export class QuotaLedger {
  private readonly accounts = new Map<string, Account>();
  private group: ReplicaGroup;
  private share: number;
  private pendingShare: PendingShare | undefined;

  constructor(private readonly options: QuotaLedgerOptions) {
    this.group = options.group;
    this.share = shareOf(options.group);
  }

  /** Share of the quotas that this replica grants, 0 to 1. */
  get currentShare(): number {
    return this.share;
  }

  /** Replaces the replicas. A smaller share counts at once. */
  setGroup(group: ReplicaGroup, now: number): void {
    this.takeShare(now);
    const share = shareOf(group);
    if (share === shareOf(this.group)) {
      this.group = group;
      return;
    }
    this.group = group;
    this.pendingShare =
      share > this.share ? {share, from: now + TAKEOVER_MS} : undefined;
    if (share < this.share) {
      this.setShare(share, now);
    }
  }

  /**
   * Replaces the tenants of the deployment, which this replica has had since `since`: the buckets of
   * new tenants fill from then on. The state of other tenants is dropped.
   */
  setTenants(tenants: readonly Tenant[], since: number, now: number): void {
    const names = new Set(tenants.map(({name}) => name));
    for (const name of this.accounts.keys()) {
      if (!names.has(name)) {
        this.accounts.delete(name);
      }
    }
    for (const {name, quota} of tenants) {
      const figures = this.figuresOf(quota);
      const known = this.accounts.get(name);
      if (known === undefined) {
        const bucket = new TokenBucket(figures, since);
        this.accounts.set(name, {quota, bucket});
      } else {
        known.quota = quota;
        known.bucket.setFigures(figures, now);
      }
    }
  }

  /** Whether a tenant belongs to the deployment. */
  hasTenant(name: string): boolean {
    return this.accounts.has(name);
  }

  /** Takes returned units back, then decides the requested grants in their order. */
  decide({grants, returns}: QuotaRequest, now: number): QuotaAnswer {
    this.takeShare(now);
    returns.forEach(({amount, tenant}: QuotaAmount) =>
      this.accounts.get(tenant)?.bucket.putBack(amount, now),
    );
    return {grants: grants.map(grant => this.decideOne(grant, now))};
  }

  private decideOne(
    {amount, isDivisible, tenant}: QuotaGrantRequest,
    now: number,
  ): QuotaDecision {
    const account = this.accounts.get(tenant);
    if (account === undefined) {
      return {granted: 0};
    }
    const {bucket, quota} = account;
    if (quota === undefined || bucket.take(amount, now)) {
      return {granted: amount, waitMs: 0};
    }
    if (amount > this.capacityOf(quota)) {
      return {granted: 0, waitMs: NEVER_MS, isTooLarge: true};
    }
    const granted = isDivisible ? bucket.takeUpTo(amount, now) : 0;
    const missing = amount - granted;
    return {granted, waitMs: (missing / quota.perSecond) * MS_PER_SECOND};
  }

  /** Units that all replicas together hold at most. */
  private capacityOf(quota: Quota): number {
    return quota.burst + BURST_SHARE * this.spareOf(quota);
  }

  /** Figures of this replica's bucket for a quota; a tenant without one takes nothing from it. */
  private figuresOf(quota: Quota | undefined): BucketFigures {
    if (quota === undefined) {
      return {perSecond: 0, burst: 0, spare: 0};
    }
    const {share} = this;
    return {
      perSecond: quota.perSecond * share,
      burst: this.capacityOf(quota) * share,
      spare: (1 - BURST_SHARE) * this.spareOf(quota) * share,
    };
  }

  private spareOf(quota: Quota): number {
    return spareUnits(quota, this.options.tolerance);
  }

  /** Applies a larger share once it counts. */
  private takeShare(now: number): void {
    const {pendingShare} = this;
    if (pendingShare !== undefined && now >= pendingShare.from) {
      this.pendingShare = undefined;
      this.setShare(pendingShare.share, pendingShare.from);
    }
  }

  private setShare(share: number, now: number): void {
    this.share = share;
    this.accounts.forEach(({bucket, quota}) =>
      bucket.setFigures(this.figuresOf(quota), now),
    );
  }
}

/** Share of one replica among the known ones; 0 if it is not one of them. */
function shareOf({ownUrl, urls}: ReplicaGroup): number {
  return ownUrl !== undefined && urls.includes(ownUrl) ? 1 / urls.length : 0;
}
