import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {ChunkMeter} from '@marigoldspur/http-link';
import type {Hop} from '@marigoldspur/messages';
import type {CompletenessCheck} from './completeness-check.js';
import type {Destination} from './target-directory.js';

/** One attempt to serve a request at one target. */
export interface Attempt {
  readonly hop: Hop;
  readonly destination: Destination;
  readonly method: string;
  /** Path on the target. */
  readonly url: string;
  /**
   * The caller's headers; hop-by-hop headers and those of this system are
   * dropped.
   */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly signal: AbortSignal;
  /** Timeout for the first byte of the response, in milliseconds. */
  readonly firstByteTimeoutMs: number;
  /** Number of the last event received, if the attempt resumes a stream. */
  readonly resumeAfter?: number;
}

/** An upstream response whose body is still to be read. */
export interface UpstreamResponse {
  /** Method of the request. */
  readonly method: string;
  readonly message: IncomingMessage;
  /**
   * Whether the connection broke. Node reports a body without a length as
   * complete in that case.
   */
  readonly isConnectionBroken?: () => boolean;
  /** Check of this response, in place of the relay's own. */
  readonly check?: CompletenessCheck;
  /** Counts the chunks of all responses of its target; by default those of this one alone. */
  readonly chunkMeter?: ChunkMeter;
  /** Called once if the response has to wait because its target brings too many small chunks. */
  readonly onChunkExcess?: () => void;
  /** Called once if the response breaks off because its chunks are too many and too small. */
  readonly onFragmented?: () => void;
}

/** A target's response that came through its agent. */
export interface AttemptResponse extends UpstreamResponse {
  readonly hop: Hop;
}
