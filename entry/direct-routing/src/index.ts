export {AdapterUsageTracker} from './adapter-usage-tracker.js';
export {
  AdapterPreparer,
  type AdapterPreparerOptions,
} from './adapter-preparer.js';
export {AttemptSender, type AttemptSenderOptions} from './attempt-sender.js';
export type {Call} from './call.js';
export {CallHandler, type CallHandlerOptions} from './call-handler.js';
export {
  CallStreamResumer,
  type CallStreamResumerOptions,
} from './call-stream-resumer.js';
export {TriedTargets} from './tried-targets.js';
export {
  RequestCrashMonitor,
  type IdentifiedRequest,
  type RequestCrashMonitorOptions,
} from './request-crash-monitor.js';
export {
  CrashWitness,
  type ConnectOutcome,
  type CrashWitnessOptions,
} from './crash-witness.js';
export {
  fingerprintRequest,
  type RequestIdentity,
} from './request-fingerprint.js';
export {
  CrashMonitor,
  type BrokenCall,
  type CrashedCall,
  type CrashMonitorOptions,
  type EngineFate,
} from './crash-monitor.js';
export {CallRunner, type CallRunnerOptions} from './call-runner.js';
export {DirectRoutingMetrics} from './direct-routing-metrics.js';
export type {
  ResponseMetadata,
  CallMetadata,
  WireFormat,
  ModelWork,
  TargetHeaderValues,
} from './wire-format.js';
export type {
  DirectRoutingSettings,
  RetryAllowance,
} from './direct-routing-settings.js';
export {StreamOrigins, type StreamOriginsOptions} from './stream-origins.js';
export {
  StreamOriginClient,
  type LookupResult,
  type StreamOriginClientOptions,
} from './stream-origin-client.js';
export {PermitClient, type PermitClientOptions} from './permit-client.js';
export {TargetLimits, type TargetLimitsOptions} from './target-limits.js';
export {ResponseProgress, type ResponseEnd} from './response-progress.js';
export {RetryLimiter, type RetryLimiterOptions} from './retry-limiter.js';
export {SlotReleaseEstimator} from './slot-release-estimator.js';
export {startDirectRouter, type DirectRouter} from './start-direct-router.js';
export type {TargetCallTracker} from './target-calls.js';
export {TargetSelector, type TargetSelectorOptions} from './target-selector.js';
export {TargetFinder, type TargetFinderOptions} from './target-finder.js';
export {
  TargetClient,
  type TargetCall,
  type TargetFailure,
} from './target-client.js';
export {WithdrawalRecorder} from './withdrawal-recorder.js';
