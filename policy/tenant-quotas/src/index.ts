export {elapsedMs, type ClockReading} from './clock-reading.js';
export {quotaCost} from './quota-cost.js';
export {
  QuotaLedger,
  USE_WITHIN_MS,
  type QuotaLedgerOptions,
  type QuotaTolerance,
  type ReplicaGroup,
  type RoleCounts,
} from './quota-ledger.js';
export {quotaRole, type QuotaRole} from './quota-role.js';
export {RecentSum} from './recent-sum.js';
export {
  PUT_BACK_WITHIN_MS,
  TokenBucket,
  type BucketFigures,
} from './token-bucket.js';
export {WindowBudget} from './window-budget.js';
