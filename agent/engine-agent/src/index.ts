export type {
  AdapterOrder,
  EngineState,
  ManagedEngine,
  OrderOutcome,
} from './managed-engine.js';
export {
  isHeld,
  planOrder,
  type AdapterView,
  type PlannedOrder,
  type WantedAdapter,
} from './adapter-plan.js';
export {UseTable} from './use-table.js';
export {AdapterKeeper, type AdapterKeeperOptions} from './adapter-keeper.js';
export {
  startEngineAgent,
  type EngineAgent,
  type EngineAgentSettings,
} from './start-engine-agent.js';
