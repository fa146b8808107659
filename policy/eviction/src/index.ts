export type {EvictionPolicy, EvictionCandidate} from './eviction-policy.js';
export {
  DecayedFrequencyEviction,
  type DecayedFrequencyOptions,
} from './decayed-frequency-eviction.js';
export {LruEviction} from './lru-eviction.js';
export {
  createEvictionPolicy,
  type EvictionPolicyName,
} from './create-eviction-policy.js';
export {
  ExpectedRateEviction,
  type ExpectedRateOptions,
} from './expected-rate-eviction.js';
export {RetiredFirstEviction} from './retired-first-eviction.js';
