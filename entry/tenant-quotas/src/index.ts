export {
  CallCharge,
  NO_CHARGE,
  type Charge,
  type HeldCharges,
} from './call-charge.js';
export {
  QuotaClient,
  type QuotaClientOptions,
  type QuotaOutcome,
} from './quota-client.js';
export {QuotaMetrics} from './quota-metrics.js';
export {RefusalReporter} from './refusal-reporter.js';
export {
  ReplicaQueue,
  type Exchange,
  type QuotaGrant,
  type ReplicaQueueOptions,
} from './replica-queue.js';
export {TenantQuotas, type TenantQuotasOptions} from './tenant-quotas.js';
