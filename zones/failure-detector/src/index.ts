export {
  FailureDetector,
  type Evidence,
  type TargetAssessment,
  type FailureDetectorOptions,
} from './failure-detector.js';
