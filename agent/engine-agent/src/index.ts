export type {
  AdapterOrder,
  EngineState,
  ManagedEngine,
  OrderOutcome,
} from './managed-engine.js';
export {
  isLoaded,
  planOrder,
  type PlanInput,
  type PlannedOrder,
  type RequestedAdapter,
} from './adapter-plan.js';
export {AdapterUseTracker} from './adapter-use-tracker.js';
export {AdapterManager, type AdapterManagerOptions} from './adapter-manager.js';
export {
  startEngineAgent,
  type EngineAgent,
  type EngineAgentSettings,
} from './start-engine-agent.js';
