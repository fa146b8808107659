export {
  digestKey,
  TenantDirectory,
  type TenantProfile,
} from './tenant-directory.js';
export {KeyFreshness} from './key-freshness.js';
