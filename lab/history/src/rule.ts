import type {Finding} from '@marigoldspur/faults';
import type {History} from './history.js';

/** A promise to the users and its check on a history. */
export interface Rule {
  /** Short name, in kebab case. */
  readonly name: string;
  /** The promise in the words of the users. */
  readonly promise: string;
  /** Returns a finding for each place where the promise was broken. */
  check(history: History): Finding[];
}

/** A finding with the name of the rule that it breaks. */
export interface Violation extends Finding {
  readonly rule: string;
}
