import type {IncomingMessage} from 'node:http';
import {HOP_HEADERS} from '@marigoldspur/messages';
import type {UpstreamResponse} from './attempt.js';

const STREAM_END = 'data: [DONE]';
/** The end marker with the line ends that may follow it. */
const TAIL_BYTES = STREAM_END.length + 8;
const BODILESS_STATUSES = new Set([204, 205, 304]);

/** Decides whether all of an answer came. */
export interface CompletenessCheck {
  /** Takes the next bytes of the body. */
  add(chunk: Buffer): void;
  /** Whether the answer, at its end, is whole. */
  isComplete(): boolean;
}

/** An answer is whole once its HTTP framing says so. */
export class FramingCompletenessCheck implements CompletenessCheck {
  constructor(private readonly answer: UpstreamResponse) {}

  add(): void {}

  isComplete(): boolean {
    const {connectionBroke, message} = this.answer;
    return (
      message.complete &&
      !(isDelimitedByClose(message) && connectionBroke?.() === true)
    );
  }
}

/** Whether the end of an answer's body is that of its connection (RFC 9112, 6.3). */
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

/** Decides from the bytes that an agent passed on whether all of an answer came. */
export class AgentCompletenessCheck implements CompletenessCheck {
  private bytes = 0;
  private tail: Buffer = Buffer.alloc(0);

  /** `endsWithDone` asks for the `data: [DONE]` that ends an engine's stream. */
  constructor(
    private readonly answer: UpstreamResponse,
    private readonly endsWithDone: boolean,
  ) {}

  /** Takes the next bytes of the body. */
  add(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.endsWithDone) {
      const last =
        chunk.length >= TAIL_BYTES ? chunk : Buffer.concat([this.tail, chunk]);
      this.tail = last.subarray(-TAIL_BYTES);
    }
  }

  /** Whether the answer, at its end, is whole. */
  isComplete(): boolean {
    const {message} = this.answer;
    if (!message.complete) {
      return false;
    }
    if (hasNoBody(this.answer)) {
      return this.bytes === 0;
    }
    const counted = message.trailers[HOP_HEADERS.end] === String(this.bytes);
    return counted && (!this.endsWithDone || this.isDone());
  }

  private isDone(): boolean {
    return this.tail.toString('latin1').trimEnd().endsWith(STREAM_END);
  }
}

/** Whether an answer has no body by its method or status, and so no trailer (RFC 9110, 6.4.1). */
function hasNoBody(answer: UpstreamResponse): boolean {
  return (
    answer.method === 'HEAD' ||
    BODILESS_STATUSES.has(answer.message.statusCode ?? 0)
  );
}
