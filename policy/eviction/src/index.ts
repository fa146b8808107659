export type {Eviction, SlotUse} from './eviction.js';
export {
  DecayedFrequencyEviction,
  type DecayedFrequencyOptions,
} from './decayed-frequency-eviction.js';
export {LruEviction} from './lru-eviction.js';
export {createEviction, type EvictionName} from './create-eviction.js';
export {
  ExpectedRateEviction,
  type ExpectedRateOptions,
} from './expected-rate-eviction.js';
export {RetiredFirstEviction} from './retired-first-eviction.js';
