export {ControlClient, type ControlClientOptions} from './control-client.js';
export {
  SettingsFollower,
  type SettingsFollowerOptions,
  type SettingsInForce,
} from './settings-follower.js';
export {MemberFollower} from './member-follower.js';
export {
  startHeartbeat,
  type Heartbeat,
  type HeartbeatAnswer,
} from './heartbeat.js';
export {HeartbeatRelay} from './heartbeat-relay.js';
export {
  LoadReportServer,
  type LoadReportServerOptions,
} from './load-report-server.js';
export {RegionLoads, type RegionLoadsOptions} from './region-loads.js';
