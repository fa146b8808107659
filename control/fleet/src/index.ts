export {
  FleetManager,
  type FleetCommands,
  type FleetManagerOptions,
} from './fleet-manager.js';
export {
  FleetStreamServer,
  type FleetStreamServerOptions,
} from './fleet-stream-server.js';
export {SharedBarrier, type SharedBarrierOptions} from './shared-barrier.js';
export {RequestLimiter, type RequestLimiterOptions} from './request-limiter.js';
export {FreshQuorum, type FreshQuorumOptions} from './fresh-quorum.js';
export {QuotaGrantMetrics} from './quota-grant-metrics.js';
export {
  QuotaGranter,
  type QuotaGranterOptions,
  type QuotaSupport,
} from './quota-granter.js';
