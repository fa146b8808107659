export {heartbeatHandler} from './heartbeat-handler.js';
export {controlRouter} from './router.js';
export type {ControlRouter} from './router.js';
export type {
  ControlService,
  ControlStatus,
  SettingsDelta,
  SettingsView,
} from './service.js';
