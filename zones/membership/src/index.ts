export {ConfirmationTimes} from './confirmation-times.js';
export {
  MemberTable,
  type Announcement,
  type MemberChange,
  type MemberTableOptions,
  type RelayedLease,
} from './member-table.js';
export {
  RelaySessions,
  type BatchOutcome,
  type RelaySessionsOptions,
} from './relay-sessions.js';
export {HeartbeatGathering, type Relay} from './heartbeat-gathering.js';
export {LoadBoard} from './load-board.js';
export {LoadView} from './load-view.js';
export {regionOf, relaysOf, type Region} from './region.js';
