export {
  digestKey,
  TenantDirectory,
  type TenantProfile,
} from './tenant-directory.js';
export {KeyFreshness, type ClockReading} from './key-freshness.js';
