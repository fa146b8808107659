export {
  MEMBER_SCHEMA,
  MEMBERS_DELTA_SCHEMA,
  TARGET_REPORT_SCHEMA,
  type Member,
  type MembersDelta,
  type ProcessRole,
  type TargetReport,
} from './member.js';
export {
  LOAD_CHANGES_SCHEMA,
  LOAD_REPORT_SCHEMA,
  LOAD_REPORTS_PATH,
  splitMember,
  type AgentLoad,
  type LoadChanges,
  type LoadReport,
  type SplitMember,
} from './load-report.js';
export {
  BATCH_ANSWER_SCHEMA,
  HEARTBEAT_BATCH_PATH,
  HEARTBEAT_BATCH_SCHEMA,
  HEARTBEAT_PATH,
  HEARTBEAT_RECEIPT_SCHEMA,
  HEARTBEAT_RELAY_PATH,
  RELAYED_ANSWER_SCHEMA,
  RELAYED_HEARTBEAT_SCHEMA,
  omitEmptyLists,
  type BatchAnswer,
  type HeartbeatBatch,
  type HeartbeatReceipt,
  type RelayedAnswer,
  type RelayedHeartbeat,
  type RelayStamp,
} from './heartbeat.js';
export {parseEventNumber} from './event-number.js';
export {type FenceGrant} from './fence-grant.js';
export {
  formatHop,
  HOP_HEADERS,
  parseHop,
  type ClockTime,
  type Hop,
  type HopModel,
} from './hop.js';
export {
  CLAIM_SCHEMA,
  CLAIM_OUTCOME_SCHEMA,
  COMPLETION_SCHEMA,
  STORED_ANSWER_SCHEMA,
  type Claim,
  type ClaimOutcome,
  type Completion,
  type StoredAnswer,
} from './claim.js';
export {
  PERMIT_REQUEST_SCHEMA,
  PERMIT_ANSWER_SCHEMA,
  type PermitAnswer,
  type PermitRequest,
} from './permit.js';
export {
  formatPrefixChanges,
  MAX_PREFIX_CHANGES,
  parsePrefixChanges,
  PREFIX_KEY_PATTERN,
  type PrefixChange,
  type PrefixChanges,
} from './prefix-changes.js';
export {PROCESS_STATUS_SCHEMA, type ProcessStatus} from './process-status.js';
