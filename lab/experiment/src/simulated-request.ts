import type {Arrival} from './trace.js';

/** A request during a simulated run. */
export interface SimulatedRequest {
  readonly arrival: Arrival;
  /** Time at which an engine first received the request, in milliseconds; its stall starts here. */
  receivedAt: number;
  /** Latest time at which the request may start, in milliseconds. */
  readonly deadline: number;
  /** Number of failed loads for the request on its current engine. */
  loadFailures: number;
  /** Whether the stall or the refusal of the request is recorded. */
  isStallRecorded: boolean;
  /** Whether an engine has started the request; its first token is recorded then. */
  hasStarted: boolean;
}
