import {Counter, type Registry} from 'prom-client';
import type {QuotaDecision, QuotaGrantRequest} from '@marigoldspur/deployment';

const RESULTS = ['granted', 'partial', 'refused'] as const;

/** Metrics of the grants that a replica of control decides. */
export class QuotaGrantMetrics {
  private readonly granted: Counter<'tenant'>;
  private readonly decisions: Counter<'result' | 'tenant'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.granted = new Counter({
      name: 'marigoldspur_quota_granted_units_total',
      help: 'Units of quotas that this replica granted, by tenant',
      labelNames: ['tenant'],
      registers,
    });
    this.decisions = new Counter({
      name: 'marigoldspur_quota_decisions_total',
      help: 'Requests for units of quotas that this replica granted, granted in part or refused, by tenant',
      labelNames: ['result', 'tenant'],
      registers,
    });
  }

  recordDecision(
    {amount, tenant}: QuotaGrantRequest,
    {granted}: QuotaDecision,
  ): void {
    const partial = granted > 0 ? 'partial' : 'refused';
    const result = granted >= amount ? 'granted' : partial;
    this.decisions.inc({result, tenant});
    this.granted.inc({tenant}, granted);
  }

  /** Drops the values of a tenant that left the deployment. */
  dropTenant(tenant: string): void {
    this.granted.remove({tenant});
    RESULTS.forEach(result => this.decisions.remove({result, tenant}));
  }
}
