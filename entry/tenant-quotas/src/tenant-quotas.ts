import {elapsedMs, readClock} from '@marigoldspur/clock-readings';
import type http from 'node:http';
import type {Registry} from 'prom-client';
import {
  QUOTA_GRANTS_PATH,
  type QuotaAmount,
  type Tenant,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {exchangeJson} from '@marigoldspur/http-link';
import {
  OutageReserve,
  quotaCost,
  type QuotaTolerance,
} from '@marigoldspur/tenant-quotas';
import {
  CallCharge,
  NO_CHARGE,
  type Charge,
  type HeldCharges,
} from './call-charge.js';
import {
  QuotaClient,
  type QuotaGrant,
  type QuotaOutcome,
} from './quota-client.js';
import {QuotaMetrics} from './quota-metrics.js';
import {RefusalReporter} from './refusal-reporter.js';
import type {Exchange} from './replica-queue.js';

/** Options of the quotas of an entry. */
export interface TenantQuotasOptions {
  readonly agent: http.Agent;
  /** Base URLs of the replicas of control. */
  readonly replicas: () => readonly string[];
  /** Number of entries that follow control, including this one; undefined if it is not known. */
  readonly entries: () => number | undefined;
  /** By how much all entries together may exceed a quota. */
  readonly tolerance: QuotaTolerance;
  readonly events: EventLog;
  readonly registry: Registry;
}

/** Interval at which unused units are looked for, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
/** Time after which a query without an answer is given up, in milliseconds. */
const QUERY_TIMEOUT_MS = 500;
const MAX_ANSWER_BYTES = 262_144;

/** Charges calls to the quotas of their tenants. */
export class TenantQuotas implements HeldCharges {
  private readonly client: QuotaClient;
  private readonly reserve: OutageReserve;
  private readonly metrics: QuotaMetrics;
  private readonly refusals: RefusalReporter;
  /** Charges of calls that have not been sent, in the order of their grants. */
  private readonly held = new Set<CallCharge>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: TenantQuotasOptions) {
    const {agent, events, registry, replicas, tolerance} = options;
    const startedAt = performance.now();
    this.reserve = new OutageReserve({tolerance, startedAt});
    this.metrics = new QuotaMetrics(registry);
    this.refusals = new RefusalReporter(events);
    this.client = new QuotaClient({
      exchange: createExchange(agent),
      replicas,
      clock: readClock,
      random: Math.random,
      events,
      metrics: this.metrics,
    });
  }

  /** Opens the charge of a call; `tokens` is undefined if the call states none. */
  open(
    tenant: Pick<Tenant, 'name' | 'quota'> | undefined,
    tokens: number | undefined,
  ): Charge {
    if (tenant?.quota === undefined) {
      return NO_CHARGE;
    }
    const amount = quotaCost(tenant.quota, tokens);
    return amount === 0
      ? NO_CHARGE
      : new CallCharge(this, {tenant: tenant.name, amount});
  }

  async request(amount: QuotaAmount): Promise<QuotaOutcome> {
    const outcome = await this.requestUnits(amount);
    const {tenant} = amount;
    this.metrics.recordCharge(tenant, toMetric(outcome));
    if (outcome.kind === 'granted') {
      this.metrics.recordGranted(tenant, amount.amount);
    } else {
      const {waitMs = 0} = outcome;
      const details = {amount: amount.amount, waitMs};
      this.refusals.record(tenant, outcome.kind, details, performance.now());
    }
    return outcome;
  }

  giveBack(grant: QuotaGrant): void {
    this.metrics.recordGivenBack(grant.tenant, grant.amount);
    if (grant.reservedAt === undefined) {
      this.client.giveBack(grant);
    } else {
      this.reserve.putBack(grant, readClock().monotonicMs);
    }
  }

  ageMs({parts, reservedAt}: QuotaGrant): number {
    const now = readClock();
    const times = parts.map(({requestedAt}) => requestedAt);
    const allTimes = reservedAt === undefined ? times : [...times, reservedAt];
    return Math.max(0, ...allTimes.map(time => elapsedMs(time, now)));
  }

  hold(charge: CallCharge): void {
    this.held.add(charge);
    this.timer ??= setInterval(() => this.giveUnusedBack(), CHECK_INTERVAL_MS);
  }

  drop(charge: CallCharge): void {
    this.held.delete(charge);
  }

  stop(): void {
    clearInterval(this.timer);
    this.refusals.stop();
    this.client.stop();
  }

  /** Asks the replicas, and the reserve if some of them that may have room do not answer. */
  private async requestUnits(amount: QuotaAmount): Promise<QuotaOutcome> {
    const entries = this.options.entries();
    if (entries !== undefined) {
      this.reserve.recordEntries(entries, readClock().monotonicMs);
    }
    const outcome = await this.client.request(amount);
    if (outcome.kind !== 'unavailable') {
      return outcome;
    }
    const reservedAt = readClock();
    return this.reserve.take(amount, reservedAt.monotonicMs)
      ? {kind: 'granted', grant: {...amount, parts: [], reservedAt}}
      : outcome;
  }

  /** Gives back units of calls that have waited too long for a target. */
  private giveUnusedBack(): void {
    for (const charge of this.held) {
      if (charge.releaseIfDue()) {
        break;
      }
    }
    if (this.held.size === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
    }
  }
}

/** Label of an outcome in the metrics. */
function toMetric(outcome: QuotaOutcome): string {
  const isReserved =
    outcome.kind === 'granted' && outcome.grant.reservedAt !== undefined;
  return isReserved ? 'reserved' : outcome.kind;
}

function createExchange(agent: http.Agent): Exchange {
  return async (replica, body) =>
    exchangeJson({
      url: new URL(QUOTA_GRANTS_PATH, replica),
      body,
      agent,
      signal: AbortSignal.timeout(QUERY_TIMEOUT_MS),
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
}
