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
