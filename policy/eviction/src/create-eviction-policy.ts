import {
  DecayedFrequencyEviction,
  type DecayedFrequencyOptions,
} from './decayed-frequency-eviction.js';
import type {EvictionPolicy} from './eviction-policy.js';
import {
  ExpectedRateEviction,
  type ExpectedRateOptions,
} from './expected-rate-eviction.js';
import {LruEviction} from './lru-eviction.js';

/** Name of an eviction policy in the settings. */
export type EvictionPolicyName = 'lru' | 'decayed-frequency' | 'expected-rate';

/** Creates the eviction policy with the given name. */
export function createEvictionPolicy(
  name: EvictionPolicyName,
  options: DecayedFrequencyOptions & ExpectedRateOptions = {},
): EvictionPolicy {
  switch (name) {
    case 'lru':
      return new LruEviction();
    case 'decayed-frequency':
      return new DecayedFrequencyEviction(options);
    case 'expected-rate':
      return new ExpectedRateEviction(options);
  }
}
