export {EngineClient} from './engine-client.js';
export {ENGINE_HEALTH_SCHEMA, type EngineHealth} from './engine-messages.js';
