export {ConfirmationTimes} from './confirmation-times.js';
export {
  MemberTable,
  type AnnouncementResult,
  type MemberChange,
  type MemberTableOptions,
  type RelayedLease,
} from './member-table.js';
export {
  RelaySessions,
  type BatchOutcome,
  type RelaySessionsOptions,
} from './relay-sessions.js';
export {HeartbeatBatcher, type RelayIdentity} from './heartbeat-batcher.js';
export {LoadReportStore} from './load-report-store.js';
export {LoadReportCache} from './load-report-cache.js';
export {resolveRegion, selectRelays, type Region} from './region.js';
