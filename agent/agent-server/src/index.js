export { AGENT_SETTINGS_SCHEMA } from './agent-settings.js';
export { startAgent } from './start-agent.js';
