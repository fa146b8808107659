import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Pin} from '@marigoldspur/adapter-slots';
import type {Hop} from '@marigoldspur/messages';

/** A checked attempt. */
export interface CheckedAttempt {
  readonly hop: Hop;
  readonly request: IncomingMessage;
  readonly body: Buffer;
  readonly response: ServerResponse;
  /** Latest end, a `performance.now()` time. */
  readonly deadlineMs: number;
  /** Aborted once the entry is gone. */
  readonly signal: AbortSignal;
  /** Absent for a plain service. */
  readonly pin?: Pin;
  /** Boot of the engine that holds the adapter. */
  readonly boot?: string;
}
