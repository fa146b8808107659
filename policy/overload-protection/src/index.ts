export {
  findLateLoads,
  type LateLoadOptions,
  type DeadlineLoad,
} from './find-late-loads.js';
export {
  OverloadDetector,
  type OverloadDetectorOptions,
} from './overload-detector.js';
export {
  lateCallRetryDelayMs,
  type ExpectedWait,
} from './late-call-retry-delay.js';
