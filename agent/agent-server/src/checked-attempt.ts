import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {Hop} from '@marigoldspur/messages';

/** A validated attempt. */
export interface CheckedAttempt {
  readonly hop: Hop;
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** Deadline, as a `performance.now()` value. */
  readonly deadlineMs: number;
  /** Aborted when the entry disconnects. */
  readonly signal: AbortSignal;
  /** Absent for a plain service. */
  readonly pin?: Pin;
  /** Boot ID of the engine that has the adapter loaded. */
  readonly boot?: string;
}
