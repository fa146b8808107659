import {Counter, type Registry} from 'prom-client';

/** Metrics of the quotas of tenants at one entry. */
export class QuotaMetrics {
  private readonly charges: Counter<'outcome' | 'tenant'>;
  private readonly units: Counter<'tenant' | 'use'>;
  private readonly queries: Counter<'outcome' | 'replica'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.charges = new Counter({
      name: 'marigoldspur_quota_charges_total',
      help: "Requests of calls for units of their tenant's quota, by whether replicas granted them, they were taken from the reserve of the entry, exceeded the quota, or found no room while a replica did not answer",
      labelNames: ['outcome', 'tenant'],
      registers,
    });
    this.units = new Counter({
      name: 'marigoldspur_quota_units_total',
      help: 'Units of quotas that calls of this entry were granted, and those that they gave back unused, by tenant',
      labelNames: ['tenant', 'use'],
      registers,
    });
    this.queries = new Counter({
      name: 'marigoldspur_quota_queries_total',
      help: 'Requests for units of quotas to replicas of control, by whether they were answered in time',
      labelNames: ['outcome', 'replica'],
      registers,
    });
  }

  recordCharge(tenant: string, outcome: string): void {
    this.charges.inc({outcome, tenant});
  }

  recordGranted(tenant: string, amount: number): void {
    this.units.inc({tenant, use: 'granted'}, amount);
  }

  recordGivenBack(tenant: string, amount: number): void {
    this.units.inc({tenant, use: 'given-back'}, amount);
  }

  recordQuery(replica: string, isAnswered: boolean): void {
    this.queries.inc({outcome: isAnswered ? 'answered' : 'failed', replica});
  }
}
