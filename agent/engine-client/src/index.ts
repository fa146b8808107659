export {
  CACHE_EVENT_SCHEMA,
  type CacheEvent,
  type FollowCacheOptions,
} from './cache-events.js';
export {
  EngineClient,
  type OrderConfirmation,
  type EngineListing,
} from './engine-client.js';
export {
  BOOT_HEADER,
  ENGINE_HEALTH_SCHEMA,
  LAST_EVENT_HEADER,
  REQUEST_ID_HEADER,
  RESUME_HEADER,
  resumePath,
  type EngineHealth,
  type EngineRequest,
  type ResidentAdapter,
} from './engine-messages.js';
