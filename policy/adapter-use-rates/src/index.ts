export {
  DecayedUseCounter,
  type DecayedUseCounterOptions,
} from './decayed-use-counter.js';
export {
  UseRateEstimator,
  type UseRateEstimatorOptions,
} from './use-rate-estimator.js';
