export {quotaCost} from './quota-cost.js';
export {
  QuotaLedger,
  USE_WITHIN_MS,
  type QuotaLedgerOptions,
  type QuotaTolerance,
  type ReplicaGroup,
} from './quota-ledger.js';
export {RecentSum} from './recent-sum.js';
export {
  PUT_BACK_WITHIN_MS,
  TokenBucket,
  type BucketFigures,
} from './token-bucket.js';
