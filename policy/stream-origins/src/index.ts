export {findOnlyVersion} from './find-only-version.js';
export {mayContinue} from './may-continue.js';
export {
  SoftwareVersionHistory,
  type VersionCertainty,
} from './software-version-history.js';
export {StreamOriginLedger} from './stream-origin-ledger.js';
