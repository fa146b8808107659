import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {Hop} from '@marigoldspur/messages';
import type {Destination} from './target-directory.js';

/** One try of a request at one target. */
export interface Attempt {
  readonly hop: Hop;
  readonly destination: Destination;
  readonly method: string;
  /** Path on the target. */
  readonly url: string;
  /** The caller's headers; those of a connection or of this system are left out. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly signal: AbortSignal;
  /** Longest time to the first byte of the answer, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Number of the last event that came, where the attempt's stream is to go on. */
  readonly resumeAfter?: number;
}

/** The beginning of an answer; its body is still to be read. */
export interface UpstreamResponse {
  /** Method of the request that it answers. */
  readonly method: string;
  readonly message: IncomingMessage;
  /** Whether its connection broke; Node takes a body without a length for whole then. */
  readonly connectionBroke?: () => boolean;
}

/** The beginning of a target's answer that came by its agent. */
export interface AttemptResponse extends UpstreamResponse {
  readonly hop: Hop;
}
