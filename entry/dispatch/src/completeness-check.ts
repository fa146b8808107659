import {framingOf} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {UpstreamResponse} from './attempt.js';

const END_MARKER = 'data: [DONE]';
/** Length of the end marker with the line breaks that may follow it. */
const TAIL_BYTES = END_MARKER.length + 8;

/** Decides whether a response has been received completely. */
export interface CompletenessCheck {
  /** Whether the body shows by itself that it is complete; false if absent. */
  readonly endsByContent?: boolean;
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
    const {isConnectionBroken, message, method} = this.response;
    if (framingOf(message, method) !== 'close') {
      return message.complete;
    }
    // Node.js sets `complete` also if this process closes the connection.
    const hasEnded = message.complete && message.readableEnded;
    return hasEnded && isConnectionBroken?.() !== true;
  }
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
    if (framingOf(message, this.response.method) === 'none') {
      // Such a response has no trailer either (RFC 9110, 6.4.1).
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
