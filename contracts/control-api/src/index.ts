export {createHeartbeatHandler} from './heartbeat-handler.js';
export {createControlRouter} from './router.js';
export type {ControlRouter} from './router.js';
export {
  SETTINGS_DELTA_SCHEMA,
  SETTINGS_VIEW_SCHEMA,
  type ControlService,
  type ControlStatus,
  type SettingsDelta,
  type SettingsView,
} from './service.js';
