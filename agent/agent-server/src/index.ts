export {AGENT_SETTINGS_SCHEMA, type AgentSettings} from './agent-settings.js';
export {startAgent} from './start-agent.js';
export {
  CachedPrefixes,
  type CachedPrefixesOptions,
  type CacheEventResult,
} from './cached-prefixes.js';
