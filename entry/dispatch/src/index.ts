export {AttemptClient, type AttemptClientOptions} from './attempt-client.js';
export {FramingCheck, type CompletenessCheck} from './completeness-check.js';
export {
  chooseCallerFraming,
  type CallerFraming,
  type FramingFacts,
} from './caller-framing.js';
export type {Attempt, AttemptResponse, UpstreamResponse} from './attempt.js';
export {responseHeaders, resumeWindowMs} from './attempt-headers.js';
export {
  relayResponse,
  type RelayResult,
  type RelayOutcome,
  type StreamResumer,
  type RelayBreak,
  type RelayOptions,
  type UpstreamEnd,
} from './relay-response.js';
export {PrefixHints, type PrefixHintsOptions} from './prefix-hints.js';
export {computePromptPrefixes, type PromptPrefix} from './prompt-prefixes.js';
export {
  TargetDirectory,
  type ChosenDestination,
  type Destination,
  type PrefixLocation,
} from './target-directory.js';
export {EventBlockScanner, type EventBlock} from './event-block.js';
export {NumberedEventBuffer} from './numbered-event-buffer.js';
export {
  TargetHealthMonitor,
  type TargetHealthMonitorOptions,
} from './target-health-monitor.js';
