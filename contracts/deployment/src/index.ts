export {
  BACKEND_SCHEMA,
  CALLER_LIMITS_SCHEMA,
  DEFAULT_MAX_BODY_BYTES,
  DEPLOYMENT_SCHEMA,
  ENGINE_CAPACITY_SCHEMA,
  ENGINE_MODEL_SCHEMA,
  ROUTE_SCHEMA,
  SERVICE_SCHEMA,
  type Backend,
  type CallerLimits,
  type Deployment,
  type EngineCapacity,
  type EngineModel,
  type Route,
  type Service,
} from './deployment.js';
export {validateDeployment} from './validate-deployment.js';
export {
  ADDRESS_SCHEMA,
  isNewerAnnouncement,
  isSameIncarnation,
  TARGET_ANNOUNCEMENT_SCHEMA,
  TARGET_ID_SCHEMA,
  TARGET_INCARNATION_SCHEMA,
  UNKNOWN_START_TIME,
  type TargetAnnouncement,
  type TargetIncarnation,
} from './target-announcement.js';
export {
  adapterName,
  NAMED_VERSION_SCHEMA,
  type NamedVersion,
} from './adapter-versions.js';
export {digestVersions, KNOWN_VERSIONS_HEADER} from './known-versions.js';
export {
  DEPLOYMENT_TEXT_SCHEMA,
  FLEET_MESSAGE_SCHEMA,
  FLEET_PATH,
  FLEET_MAX_INTERVAL_MS,
  type DeploymentText,
  type FleetMessage,
} from './fleet-messages.js';
export {
  createDeploymentHead,
  DEPLOYMENT_HEAD_SCHEMA,
  DEPLOYMENT_REQUEST_SCHEMA,
  DEPLOYMENT_TRANSFER_PATH,
  DEPLOYMENT_TRANSFER_SCHEMA,
  type DeploymentHead,
  type DeploymentRequest,
  type DeploymentTransfer,
} from './deployment-transfer.js';
export {readFleetMessage, type ReadFleetMessage} from './read-fleet-message.js';
export {
  ENGINE_VIEW_PATH,
  ENGINE_VIEW_MAX_INTERVAL_MS,
  ENGINE_VIEW_SCHEMA,
  PREPARE_ANSWER_SCHEMA,
  PREPARE_PATH,
  MODEL_MEMORY_SCHEMA,
  PREPARE_REQUEST_SCHEMA,
  ADAPTER_USAGE_PATH,
  ADAPTER_USAGE_SCHEMA,
  type EngineView,
  type PrepareAnswer,
  type ModelMemory,
  type PrepareRequest,
  type AdapterUsage,
} from './engine-view.js';
export {
  CRASH_RECORDS_PATH,
  CRASH_RECORDS_SCHEMA,
  createCrashRecords,
  MAX_PART_NAME_LENGTH,
  MAX_RECORDS,
  MAX_REPORTED_PARTS,
  type CrashRecords,
  type CrashReport,
  type PartSighting,
  type RequestCrash,
  type RequestSighting,
} from './crash-records.js';
export {
  MAX_STATED_LIMITS,
  PERMIT_ANSWER_SCHEMA,
  PERMIT_REQUEST_SCHEMA,
  REQUEST_LIMITS_PATH,
  REQUEST_LIMITS_SCHEMA,
  REQUEST_PERMITS_PATH,
  STATED_LIMIT_SCHEMA,
  type PermitAnswer,
  type PermitRequest,
  type TargetLimit,
} from './request-limits.js';
export {
  MAX_TARGET_LEAVES,
  TARGET_LEAVES_PATH,
  TARGET_LEAVES_SCHEMA,
} from './target-leaves.js';
export {
  MAX_STREAM_ORIGINS,
  SERVICE_VERSION_SCHEMA,
  SOFTWARE_VERSIONS_SCHEMA,
  STREAM_ORIGIN_ANSWER_SCHEMA,
  STREAM_ORIGIN_LOOKUP_PATH,
  STREAM_ORIGIN_LOOKUP_SCHEMA,
  STREAM_ORIGIN_SCHEMA,
  STREAM_ORIGINS_PATH,
  STREAM_ORIGINS_SCHEMA,
  type SoftwareVersionRecord,
  type ServiceVersion,
  type SoftwareVersions,
  type StreamOrigin,
  type StreamOriginAnswer,
  type StreamOriginLookup,
  type VersionEvidence,
} from './stream-origins.js';
export {
  FENCE_ANSWER_SCHEMA,
  FENCE_REQUEST_SCHEMA,
  FENCES_PATH,
  type FenceAnswer,
} from './fence-messages.js';
export {
  QUOTA_SCHEMA,
  TENANT_SCHEMA,
  type Quota,
  type Tenant,
} from './tenants.js';
export {
  DEPLOYMENT_CONFIRMATION_PATH,
  DEPLOYMENT_CONFIRMATION_SCHEMA,
  type DeploymentConfirmation,
} from './deployment-confirmation.js';
export {
  MAX_QUOTA_GRANTS,
  QUOTA_ANSWER_SCHEMA,
  QUOTA_GRANTS_PATH,
  QUOTA_REQUEST_SCHEMA,
  type QuotaAmount,
  type QuotaAnswer,
  type QuotaDecision,
  type QuotaGrantRequest,
  type QuotaRequest,
} from './quota-grants.js';
