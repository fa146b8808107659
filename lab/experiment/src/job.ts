import type {Arrival} from './trace.js';

/** A request on its way through a run. */
export interface Job {
  readonly arrival: Arrival;
  /** When an engine first took it, in milliseconds; its stall counts from here. */
  takenAt: number;
  /** Latest time at which it may still begin, in milliseconds. */
  readonly deadline: number;
  /** Loads that failed for it at its present engine. */
  failures: number;
  /** Whether its stall is counted. */
  settled: boolean;
  /** Whether its first token is counted. */
  started: boolean;
}
