export {
  readProcessSettings,
  type ProcessCommand,
  type ProcessInvocation,
  type SettingsSource,
} from './read-process-settings.js';
export {flagName, variableName} from './setting-names.js';
export {
  BOOLEAN_SCHEMA,
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
} from './value-schemas.js';
export {VERSION} from './version.js';
