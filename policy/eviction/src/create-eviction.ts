import {
  DecayedFrequencyEviction,
  type DecayedFrequencyOptions,
} from './decayed-frequency-eviction.js';
import type {Eviction} from './eviction.js';
import {
  ExpectedRateEviction,
  type ExpectedRateOptions,
} from './expected-rate-eviction.js';
import {LruEviction} from './lru-eviction.js';

/** Name of an eviction policy, as in the settings. */
export type EvictionName = 'lru' | 'decayed-frequency' | 'expected-rate';

/** Creates the eviction policy that the settings name. */
export function createEviction(
  name: EvictionName,
  options: DecayedFrequencyOptions & ExpectedRateOptions = {},
): Eviction {
  switch (name) {
    case 'lru':
      return new LruEviction();
    case 'decayed-frequency':
      return new DecayedFrequencyEviction(options);
    case 'expected-rate':
      return new ExpectedRateEviction(options);
  }
}
