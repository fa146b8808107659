export {AdapterUsageTracker} from './adapter-usage-tracker.js';
export {
  AdapterPreparer,
  type AdapterPreparerOptions,
} from './adapter-preparer.js';
export {CallHandler, type CallHandlerOptions} from './call-handler.js';
export type {CallRunner} from './call-runner.js';
export {DirectMetrics} from './direct-metrics.js';
export type {
  ResponseMetadata,
  CallMetadata,
  WireFormat,
  ModelWork,
  TargetHeaderValues,
} from './wire-format.js';
export type {DirectSettings, RetryAllowance} from './direct-settings.js';
export {SlotReleaseEstimator} from './slot-release-estimator.js';
export {startDirectEntry, type DirectEntry} from './start-direct-entry.js';
export {TargetSelector, type TargetSelectorOptions} from './target-selector.js';
export {TargetFinder, type TargetFinderOptions} from './target-finder.js';
export {TargetHttpAgent} from './target-http-agent.js';
export {
  TargetClient,
  type TargetCall,
  type TargetFailure,
} from './target-client.js';
