export {
  DeploymentConfirmer,
  type DeploymentConfirmerOptions,
} from './deployment-confirmer.js';
export {
  TenantGate,
  type CallAccess,
  type TenantGateOptions,
} from './tenant-gate.js';
export {TenantMetrics} from './tenant-metrics.js';
export {
  startTenantGate,
  type RunningTenantGate,
  type TenantGateSettings,
} from './start-tenant-gate.js';
