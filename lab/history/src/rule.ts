import type {Finding} from '@marigoldspur/faults';
import type {History} from './history.js';

/** One promise, and how it is checked on a history. */
export interface Rule {
  /** Short name, in kebab case. */
  readonly name: string;
  /** The promise, in the words of the users. */
  readonly promise: string;
  /** Where the promise was broken. */
  check(history: History): Finding[];
}

/** A broken promise. */
export interface Violation extends Finding {
  readonly rule: string;
}
