import type {
  Quota,
  QuotaAmount,
  QuotaAnswer,
  QuotaDecision,
  QuotaRequest,
  Tenant,
} from '@marigoldspur/deployment';
import {quotaRole, type QuotaRole} from './quota-role.js';
import {TokenBucket, type BucketFigures} from './token-bucket.js';
import {WindowBudget} from './window-budget.js';

/** By how much the use of all entries together may exceed a quota. */
export interface QuotaTolerance {
  /** Window in which the use is counted, in milliseconds. */
  readonly windowMs: number;
  /** Share of the quota. */
  readonly ratio: number;
  /** Units beyond that share. */
  readonly slack: number;
}

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

/** Number of tenants by the role of a replica. */
export type RoleCounts = Readonly<Record<QuotaRole, number>>;

/** What a replica knows about one tenant. */
interface Account {
  quota: Quota | undefined;
  readonly role: QuotaRole;
  /** When the replica may begin to grant in this role. */
  readonly grantsFrom: number;
  readonly bucket: TokenBucket;
  readonly budget: WindowBudget;
}

/** Time after its request within which a granted unit is used, in milliseconds. */
export const USE_WITHIN_MS = 300;
/**
 * Time after a change of the replicas during which a replica with a new role grants nothing,
 * in milliseconds. Its predecessor may grant for as long as a quorum barrier is valid (1 s),
 * and a change may reach this replica before it is committed.
 */
const TAKEOVER_MS = 1_500;
/**
 * Time for which a new primary leaves to the stand-in what its bucket, which was empty, does
 * not hold yet, in milliseconds.
 */
const FRESH_MS = 2_000;
/**
 * Share of the tolerance that the stand-in may grant. The rest covers units that are used
 * later than they are granted.
 */
const STAND_IN_SHARE = 0.6;
/**
 * Wait that is stated for an amount above the burst, in milliseconds. Such a call is refused
 * until the quota is raised, so callers need not come back soon.
 */
const NEVER_MS = 60_000;
const MS_PER_SECOND = 1_000;

/**
 * Decides the grants of one replica of control: as the primary of a tenant from a token bucket,
 * as its stand-in from a budget within the tolerance. All times are in milliseconds.
 */
export class QuotaLedger {
  private readonly accounts = new Map<string, Account>();
  private group: ReplicaGroup;
  /** When the group changed last; roles are the same since then. */
  private groupSince: number;
  /** Whether the group changed since the start of the process. */
  private isGroupChanged = false;

  constructor(
    private readonly options: QuotaLedgerOptions,
    now: number,
  ) {
    this.group = options.group;
    this.groupSince = now;
  }

  /** Replaces the replicas; returns whether the role for a tenant changed. */
  setGroup(group: ReplicaGroup, now: number): boolean {
    if (isSameGroup(this.group, group)) {
      return false;
    }
    this.group = group;
    this.groupSince = now;
    this.isGroupChanged = true;
    let hasChanged = false;
    for (const [name, account] of this.accounts) {
      const role = this.roleOf(name);
      if (role !== account.role) {
        this.accounts.set(name, this.openAccount(name, account.quota, now));
        hasChanged = true;
      }
    }
    return hasChanged;
  }

  /**
   * Replaces the tenants of the deployment, which this replica has had since `since`. The
   * state of other tenants is dropped.
   */
  setTenants(tenants: readonly Tenant[], since: number, now: number): void {
    const names = new Set(tenants.map(({name}) => name));
    for (const name of this.accounts.keys()) {
      if (!names.has(name)) {
        this.accounts.delete(name);
      }
    }
    for (const {name, quota} of tenants) {
      const known = this.accounts.get(name);
      if (known === undefined) {
        this.accounts.set(name, this.openAccount(name, quota, since));
      } else {
        known.quota = quota;
        known.bucket.setFigures(this.figuresOf(quota), now);
      }
    }
  }

  /** Whether a tenant belongs to the deployment. */
  hasTenant(name: string): boolean {
    return this.accounts.has(name);
  }

  /** Number of tenants with a quota, by the role of this replica. */
  roleCounts(): RoleCounts {
    const counts = {primary: 0, 'stand-in': 0, none: 0};
    for (const {quota, role} of this.accounts.values()) {
      counts[role] += quota === undefined ? 0 : 1;
    }
    return counts;
  }

  /** Takes returned units back, then decides the requested grants in their order. */
  decide({grants, returns}: QuotaRequest, now: number): QuotaAnswer {
    returns.forEach(returned => this.takeBack(returned, now));
    return {grants: grants.map(grant => this.decideOne(grant, now))};
  }

  private decideOne({tenant, amount}: QuotaAmount, now: number): QuotaDecision {
    const account = this.accounts.get(tenant);
    if (
      account === undefined ||
      account.role === 'none' ||
      now < account.grantsFrom
    ) {
      return {isGranted: false, waitMs: 0, role: 'none'};
    }
    const {quota, role} = account;
    if (quota === undefined) {
      return {isGranted: true, waitMs: 0, role};
    }
    return role === 'primary'
      ? decideAsPrimary(account, amount, now)
      : this.decideAsStandIn(account, quota, amount, now);
  }

  private decideAsStandIn(
    {budget}: Account,
    quota: Quota,
    amount: number,
    now: number,
  ): QuotaDecision {
    const limit = this.standInLimit(quota);
    if (budget.take(amount, limit, now)) {
      return {isGranted: true, waitMs: 0, role: 'stand-in'};
    }
    const waitMs = budget.waitMs(amount, limit, now);
    // The primary may grant what is too much for the whole budget.
    return waitMs === undefined
      ? {isGranted: false, waitMs: 0, role: 'none'}
      : {isGranted: false, waitMs, role: 'stand-in'};
  }

  private takeBack({tenant, amount}: QuotaAmount, now: number): void {
    const account = this.accounts.get(tenant);
    // Before that time, the units are those of an earlier role.
    if (account === undefined || now < account.grantsFrom) {
      return;
    }
    if (account.role === 'primary') {
      account.bucket.putBack(amount, now);
    } else if (account.role === 'stand-in') {
      account.budget.putBack(amount, now);
    }
  }

  /** Figures of the bucket of a tenant; a tenant without a quota takes nothing from it. */
  private figuresOf(quota: Quota | undefined): BucketFigures {
    if (quota === undefined) {
      return {perSecond: 0, burst: 0, spare: 0};
    }
    const {burst, perSecond} = quota;
    const usedLate = (perSecond * USE_WITHIN_MS) / MS_PER_SECOND;
    const rest = (1 - STAND_IN_SHARE) * this.toleranceOf(quota);
    return {perSecond, burst, spare: Math.max(0, rest - usedLate)};
  }

  /** Units that the stand-in may grant in any window. */
  private standInLimit(quota: Quota): number {
    return STAND_IN_SHARE * this.toleranceOf(quota);
  }

  /** Units by which the use in a window may exceed a quota. */
  private toleranceOf({burst, perSecond}: Quota): number {
    const {ratio, slack, windowMs} = this.options.tolerance;
    const quota = (perSecond * windowMs) / MS_PER_SECOND + burst;
    return ratio * quota + slack;
  }

  private roleOf(tenant: string): QuotaRole {
    const {ownUrl, urls} = this.group;
    return ownUrl === undefined ? 'none' : quotaRole(tenant, urls, ownUrl);
  }

  /** Opens the account of a tenant whose figures this replica has had since `since`. */
  private openAccount(
    name: string,
    quota: Quota | undefined,
    since: number,
  ): Account {
    const role = this.roleOf(name);
    const rolesFrom = this.groupSince + (this.isGroupChanged ? TAKEOVER_MS : 0);
    const {windowMs} = this.options.tolerance;
    // Units that the stand-in grants may be used a little later.
    const budgetMs = windowMs + USE_WITHIN_MS;
    const startAt = Math.max(since, rolesFrom);
    return {
      quota,
      role,
      // Another process may have granted the whole budget before.
      grantsFrom: startAt + (role === 'stand-in' ? budgetMs : 0),
      bucket: new TokenBucket(this.figuresOf(quota), startAt),
      budget: new WindowBudget(budgetMs),
    };
  }
}

function decideAsPrimary(
  {bucket, grantsFrom}: Account,
  amount: number,
  now: number,
): QuotaDecision {
  if (bucket.take(amount, now)) {
    return {isGranted: true, waitMs: 0, role: 'primary'};
  }
  const waitMs = bucket.waitMs(amount, now) ?? NEVER_MS;
  const isFresh = now < grantsFrom + FRESH_MS;
  return {isGranted: false, waitMs, role: isFresh ? 'none' : 'primary'};
}

function isSameGroup(a: ReplicaGroup, b: ReplicaGroup): boolean {
  return (
    a.ownUrl === b.ownUrl &&
    a.urls.length === b.urls.length &&
    [...a.urls].sort().join(' ') === [...b.urls].sort().join(' ')
  );
}
