export type {
  AdapterOrder,
  EngineState,
  ManagedEngine,
  OrderOutcome,
} from './managed-engine.js';
export {isLoaded, planOrder, type PlannedOrder} from './adapter-plan.js';
export type {PlanInput, RequestedAdapter} from './plan-input.js';
export {EngineMemory} from './engine-memory.js';
export {planRoom, type RoomPlan} from './room-plan.js';
export {AdapterUseTracker} from './adapter-use-tracker.js';
export {AdapterManager, type AdapterManagerOptions} from './adapter-manager.js';
export {
  startEngineAgent,
  type EngineAgent,
  type EngineAgentSettings,
} from './start-engine-agent.js';
