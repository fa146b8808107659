import {Counter, type Registry} from 'prom-client';
import type {QuotaAmount, QuotaDecision} from '@marigoldspur/deployment';

/** Metrics of the grants that a replica of control decides. */
export class QuotaGrantMetrics {
  private readonly granted: Counter<'role' | 'tenant'>;
  private readonly decisions: Counter<'result' | 'role' | 'tenant'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.granted = new Counter({
      name: 'marigoldspur_quota_granted_units_total',
      help: 'Units of quotas that this replica granted, by tenant and by its role for the tenant',
      labelNames: ['role', 'tenant'],
      registers,
    });
    this.decisions = new Counter({
      name: 'marigoldspur_quota_decisions_total',
      help: 'Requests for units of quotas that this replica granted or refused, by tenant and by its role for the tenant',
      labelNames: ['result', 'role', 'tenant'],
      registers,
    });
  }

  recordDecision(
    {amount, tenant}: QuotaAmount,
    {isGranted, role}: QuotaDecision,
  ): void {
    const result = isGranted ? 'granted' : 'refused';
    this.decisions.inc({result, role, tenant});
    if (isGranted) {
      this.granted.inc({role, tenant}, amount);
    }
  }

  /** Drops the values of a tenant that left the deployment. */
  dropTenant(tenant: string): void {
    for (const role of ['primary', 'stand-in', 'none']) {
      this.granted.remove({role, tenant});
      this.decisions.remove({result: 'granted', role, tenant});
      this.decisions.remove({result: 'refused', role, tenant});
    }
  }
}
