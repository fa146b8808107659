export {ControlClient, type ControlClientOptions} from './control-client.js';
export {
  SettingsFollower,
  type SettingsFollowerOptions,
  type ActiveSettings,
} from './settings-follower.js';
export {MemberFollower} from './member-follower.js';
export {
  startHeartbeat,
  type HeartbeatSender,
  type HeartbeatResult,
} from './heartbeat.js';
export {HeartbeatRelay} from './heartbeat-relay.js';
export {
  LoadReportServer,
  type LoadReportServerOptions,
} from './load-report-server.js';
export {
  RegionLoadFollower,
  type RegionLoadFollowerOptions,
} from './region-load-follower.js';
