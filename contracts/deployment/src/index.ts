export {
  BACKEND_SCHEMA,
  CALLER_LIMITS_SCHEMA,
  DEFAULT_MAX_BODY_BYTES,
  DEPLOYMENT_SCHEMA,
  ENGINE_SHAPE_SCHEMA,
  ROUTE_SCHEMA,
  SERVICE_SCHEMA,
  type Backend,
  type CallerLimits,
  type Deployment,
  type EngineShape,
  type Route,
  type Service,
} from './deployment.js';
export {checkDeployment} from './check-deployment.js';
export {
  isNewer,
  isSameStart,
  TARGET_ANNOUNCEMENT_SCHEMA,
  TARGET_LIFE_SCHEMA,
  UNKNOWN_START,
  type TargetAnnouncement,
  type TargetLife,
} from './target-announcement.js';
export {
  adapterName,
  NAMED_VERSION_SCHEMA,
  type NamedVersion,
} from './adapter-versions.js';
export {
  DEPLOYMENT_TEXT_SCHEMA,
  FLEET_MESSAGE_SCHEMA,
  FLEET_PATH,
  FLEET_PULSE_MS,
  type DeploymentText,
  type FleetMessage,
} from './fleet-messages.js';
export {
  ENGINE_VIEW_PATH,
  ENGINE_VIEW_PULSE_MS,
  ENGINE_VIEW_SCHEMA,
  PREPARE_ANSWER_SCHEMA,
  PREPARE_PATH,
  PREPARE_REQUEST_SCHEMA,
  USES_PATH,
  USES_SCHEMA,
  type EngineView,
  type PrepareAnswer,
  type PrepareRequest,
  type Uses,
} from './engine-view.js';
export {
  FENCE_ANSWER_SCHEMA,
  FENCE_REQUEST_SCHEMA,
  FENCES_PATH,
  type FenceAnswer,
} from './fence.js';
