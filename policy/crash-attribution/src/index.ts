export {findBlamedParts, findBlockedPart, type Blame} from './blamed-parts.js';
export {
  findBlamedRequests,
  type RequestBlame,
  type RequestBlames,
} from './blamed-requests.js';
export {
  RequestCrashLedger,
  type DatedCrash,
  type RequestRecords,
} from './request-crash-ledger.js';
export {CompletedParts} from './completed-parts.js';
export {
  CrashLedger,
  type DatedReport,
  type PartRecords,
} from './crash-ledger.js';
