export {
  CallCharge,
  NO_CHARGE,
  type Charge,
  type HeldCharges,
} from './call-charge.js';
export {
  findChargeRefusal,
  isExpiredCharge,
  isTenantChange,
  type TenantCharge,
} from './charge-check.js';
export {
  QuotaClient,
  type QuotaClientOptions,
  type QuotaGrant,
  type QuotaOutcome,
} from './quota-client.js';
export {QuotaMetrics} from './quota-metrics.js';
export {RefusalReporter} from './refusal-reporter.js';
export {
  ReplicaQueue,
  type Exchange,
  type ReplicaGrant,
  type ReplicaQueueOptions,
} from './replica-queue.js';
export {RoomEstimates} from './room-estimates.js';
export {TenantQuotas, type TenantQuotasOptions} from './tenant-quotas.js';
