export {findBlamedParts, findBlockedPart, type Blame} from './blamed-parts.js';
export {CompletedParts} from './completed-parts.js';
export {CrashLedger, type DatedReport} from './crash-ledger.js';
