import type {IncomingMessage} from 'node:http';

/** Result of checking part of a response. */
export interface CheckResult {
  /** Bytes that may be forwarded now. */
  readonly pass: Buffer[];
  /** Set if the response is incomplete or belongs to another request. */
  readonly fault?: ResponseFault;
}

/**
 * Fault of a response. `crossed`: it belongs to another request. `torn`: it is
 * incomplete or malformed.
 */
export type ResponseFault = 'crossed' | 'torn';

/**
 * Checks the body of a response while it is relayed. Nothing is forwarded
 * unchecked.
 */
export interface ResponseCheck {
  /** Checks the next chunk of the body. */
  checkChunk(chunk: Buffer): CheckResult;
  /** Checks that the body is complete, after its last chunk. */
  finish(): CheckResult;
}

const MAX_BUFFERED_BYTES = 1_048_576;
const EVENT_END = /\r?\n\r?\n/;
const END_MARKER = '[DONE]';
const END_EVENT = `\ndata: ${END_MARKER}`;
const DATA_PREFIX = 'data:';

/** Creates the check for an engine's response to a request for `model`. */
export function createResponseCheck(
  targetResponse: IncomingMessage,
  model: string,
): ResponseCheck {
  if (targetResponse.statusCode !== 200) {
    return new PassThroughCheck();
  }
  const type = targetResponse.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream')
    ? new StreamCheck(model)
    : new JsonCheck(model);
}

/** Forwards everything without checks. */
export class PassThroughCheck implements ResponseCheck {
  checkChunk(chunk: Buffer): CheckResult {
    return {pass: [chunk]};
  }

  finish(): CheckResult {
    return {pass: []};
  }
}

/**
 * Buffers a JSON response until its model is checked. A response over the
 * buffer limit is forwarded on the basis of its headers alone.
 */
class JsonCheck implements ResponseCheck {
  private buffered: Buffer[] = [];
  private bufferedBytes = 0;

  constructor(private readonly model: string) {}

  checkChunk(chunk: Buffer): CheckResult {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      return {pass: [chunk]};
    }
    this.buffered.push(chunk);
    this.bufferedBytes += chunk.length;
    return {
      pass: this.bufferedBytes > MAX_BUFFERED_BYTES ? this.release() : [],
    };
  }

  finish(): CheckResult {
    if (this.bufferedBytes > MAX_BUFFERED_BYTES) {
      return {pass: []};
    }
    const model = jsonModel(Buffer.concat(this.buffered).toString('utf8'));
    if (model === undefined) {
      return {pass: [], fault: 'torn'};
    }
    return model === this.model
      ? {pass: this.release()}
      : {pass: [], fault: 'crossed'};
  }

  private release(): Buffer[] {
    const {buffered} = this;
    this.buffered = [];
    return buffered;
  }
}

/**
 * Checks the model of the first event, and that the stream ends with its only
 * end marker.
 */
class StreamCheck implements ResponseCheck {
  private firstEvent: Buffer | undefined = Buffer.alloc(0);
  private tail = '\n';
  private hasEnded = false;

  constructor(private readonly model: string) {}

  checkChunk(chunk: Buffer): CheckResult {
    if (!this.trackEnd(chunk)) {
      return {pass: [], fault: 'torn'};
    }
    if (this.firstEvent === undefined) {
      return {pass: [chunk]};
    }
    this.firstEvent = Buffer.concat([this.firstEvent, chunk]);
    const data = firstEventData(this.firstEvent.toString('utf8'));
    if (data === undefined) {
      return this.firstEvent.length > MAX_BUFFERED_BYTES
        ? {pass: [], fault: 'torn'}
        : {pass: []};
    }
    if (data !== END_MARKER && jsonModel(data) !== this.model) {
      return {pass: [], fault: 'crossed'};
    }
    const pass = [this.firstEvent];
    this.firstEvent = undefined;
    return {pass};
  }

  finish(): CheckResult {
    return this.hasEnded && this.firstEvent === undefined
      ? {pass: []}
      : {pass: [], fault: 'torn'};
  }

  /**
   * Tracks the end marker; returns false if anything but whitespace follows it.
   */
  private trackEnd(chunk: Buffer): boolean {
    const text = this.tail + chunk.toString('latin1');
    const end = this.hasEnded ? 0 : text.indexOf(END_EVENT);
    this.tail = text.slice(-END_EVENT.length);
    if (end < 0) {
      return true;
    }
    const rest = this.hasEnded
      ? chunk.toString('latin1')
      : text.slice(end + END_EVENT.length);
    this.hasEnded = true;
    return rest.trim() === '';
  }
}

/**
 * Returns the data of the first complete event that has any; undefined if there
 * is none yet.
 */
function firstEventData(text: string): string | undefined {
  const events = text.split(EVENT_END).slice(0, -1);
  const lines = events.flatMap(event => event.split(/\r?\n/));
  const line = lines.find(each => each.startsWith(DATA_PREFIX));
  return line?.slice(DATA_PREFIX.length).trim();
}

function jsonModel(text: string): string | undefined {
  try {
    const {model} = JSON.parse(text) as {model?: unknown};
    return typeof model === 'string' ? model : undefined;
  } catch {
    return undefined;
  }
}
