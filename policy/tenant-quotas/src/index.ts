export {OutageReserve, type OutageReserveOptions} from './outage-reserve.js';
export {quotaCost} from './quota-cost.js';
export {
  QuotaLedger,
  type QuotaLedgerOptions,
  type ReplicaGroup,
} from './quota-ledger.js';
export {USE_WITHIN_MS, type QuotaTolerance} from './quota-tolerance.js';
export {RecentSum} from './recent-sum.js';
export {
  PUT_BACK_WITHIN_MS,
  TokenBucket,
  type BucketFigures,
} from './token-bucket.js';
