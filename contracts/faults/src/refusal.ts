import {Fault} from './fault.js';

/**
 * What is known about a refused request: `not-run` means that it certainly did not run,
 * `unknown` that it may have run, and `failed` that the target ran it and reported an error.
 */
export type RefusalOutcome = 'not-run' | 'unknown' | 'failed';

/** A final answer without a result, with the time after which a retry makes sense. */
export class Refusal extends Fault {
  constructor(
    readonly outcome: RefusalOutcome,
    /** HTTP status of the answer. */
    readonly status: number,
    /** Machine-readable reason, in snake case. */
    readonly reason: string,
    message: string,
    /** Seconds after which a retry makes sense; undefined if it never does. */
    readonly retryAfterSeconds?: number,
  ) {
    super('REFUSED', message);
    this.name = 'Refusal';
  }
}
