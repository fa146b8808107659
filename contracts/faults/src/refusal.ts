import {Fault} from './fault.js';

/**
 * What is known about a refused request: `not-run` is provable, `unknown` means
 * it may have run, `failed` means that the target ran it and reported an error.
 */
export type RefusalOutcome = 'not-run' | 'unknown' | 'failed';

/** A final answer without a result, with the time after which to ask again. */
export class Refusal extends Fault {
  constructor(
    readonly outcome: RefusalOutcome,
    /** HTTP status of the answer. */
    readonly status: number,
    /** Machine-readable reason, in snake case. */
    readonly reason: string,
    message: string,
    /** Seconds after which a repeat makes sense; undefined when it never does. */
    readonly retryAfterSeconds?: number,
  ) {
    super('REFUSED', message);
    this.name = 'Refusal';
  }
}
