import {Fault} from './fault.js';

/**
 * What is known about a refused request: `not-run` means that it certainly did not run,
 * `unknown` that it may have run, and `failed` that the target ran it and reported an error.
 */
export type RefusalOutcome = 'not-run' | 'unknown' | 'failed';

/** The refusal of a request: what is known about its run, and when a retry makes sense. */
export class Refusal extends Fault {
  constructor(
    readonly outcome: RefusalOutcome,
    /** HTTP status of the response. */
    readonly status: number,
    /** Machine-readable reason, in snake case. */
    readonly reason: string,
    message: string,
    /** Time after which a retry makes sense, in seconds; undefined if the refusal states none. */
    readonly retryAfterSeconds?: number,
  ) {
    super('REFUSED', message);
    this.name = 'Refusal';
  }
}
