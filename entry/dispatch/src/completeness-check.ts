import type {IncomingMessage} from 'node:http';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {UpstreamResponse} from './attempt.js';

const END_MARKER = 'data: [DONE]';
/** Length of the end marker with the line breaks that may follow it. */
const TAIL_BYTES = END_MARKER.length + 8;
const BODILESS_STATUSES = new Set([204, 205, 304]);

/** Decides whether a response has been received completely. */
export interface CompletenessCheck {
  /** Processes the next bytes of the body. */
  add(chunk: Buffer): void;
  /** Whether the response, at its end, is complete. */
  isComplete(): boolean;
  /** Whether more has arrived than the response may hold. */
  isExceeded?(): boolean;
}

/** Treats a response as complete once its HTTP framing says so. */
export class FramingCheck implements CompletenessCheck {
  constructor(private readonly response: UpstreamResponse) {}

  add(): void {}

  isComplete(): boolean {
    const {isConnectionBroken, message} = this.response;
    return (
      message.complete &&
      !(isDelimitedByClose(message) && isConnectionBroken?.() === true)
    );
  }
}

/**
 * Whether the body of a response is delimited by the end of its connection (RFC
 * 9112, 6.3).
 */
export function isDelimitedByClose({
  headers,
  statusCode = 0,
}: IncomingMessage): boolean {
  return (
    !BODILESS_STATUSES.has(statusCode) &&
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Compares the received bytes with the byte count that the agent sends in a
 * trailer.
 */
export class TrailerCheck implements CompletenessCheck {
  private bytes = 0;
  private tail: Buffer = Buffer.alloc(0);

  /**
   * `endsWithDone` also requires the `data: [DONE]` that ends an engine's
   * stream.
   */
  constructor(
    private readonly response: UpstreamResponse,
    private readonly endsWithDone: boolean,
  ) {}

  /** Processes the next bytes of the body. */
  add(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.endsWithDone) {
      const tail =
        chunk.length >= TAIL_BYTES ? chunk : Buffer.concat([this.tail, chunk]);
      this.tail = tail.subarray(-TAIL_BYTES);
    }
  }

  /** Whether the response, at its end, is complete. */
  isComplete(): boolean {
    const {message} = this.response;
    if (!message.complete) {
      return false;
    }
    if (hasNoBody(this.response)) {
      return this.bytes === 0;
    }
    const hasExpectedLength =
      message.trailers[HOP_HEADERS.end] === String(this.bytes);
    return hasExpectedLength && (!this.endsWithDone || this.endsWithMarker());
  }

  private endsWithMarker(): boolean {
    return this.tail.toString('latin1').trimEnd().endsWith(END_MARKER);
  }
}

/**
 * Whether a response has no body because of its method or status, and therefore
 * no trailer (RFC 9110, 6.4.1).
 */
function hasNoBody(response: UpstreamResponse): boolean {
  return (
    response.method === 'HEAD' ||
    BODILESS_STATUSES.has(response.message.statusCode ?? 0)
  );
}
