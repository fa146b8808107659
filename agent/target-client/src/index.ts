export {
  EngineClient,
  type Confirmation,
  type Listing,
} from './engine-client.js';
export {
  BOOT_HEADER,
  ENGINE_HEALTH_SCHEMA,
  REQUEST_ID_HEADER,
  type EngineHealth,
  type EngineRequest,
} from './engine-messages.js';
