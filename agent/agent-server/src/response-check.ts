import type {IncomingMessage} from 'node:http';

/** What a check says of an answer so far. */
export interface CheckResult {
  /** Bytes that may be passed on now. */
  readonly pass: Buffer[];
  /** Why the answer is not this request's, or not whole. */
  readonly fault?: ResponseFault;
}

/** What is wrong with an answer. */
export type ResponseFault = 'crossed' | 'torn';

/** Checks the body of an answer while it passes; nothing is passed on unchecked. */
export interface ResponseCheck {
  take(chunk: Buffer): CheckResult;
  end(): CheckResult;
}

const MAX_HELD_BYTES = 1_048_576;
const EVENT_END = /\r?\n\r?\n/;
const END_DATA = '[DONE]';
const STREAM_END = `\ndata: ${END_DATA}`;
const DATA_PREFIX = 'data:';

/** The check for an answer of an engine to a request for `model`. */
export function createResponseCheck(
  answer: IncomingMessage,
  model: string,
): ResponseCheck {
  if (answer.statusCode !== 200) {
    return new PassThroughCheck();
  }
  const type = answer.headers['content-type'] ?? '';
  return type.startsWith('text/event-stream')
    ? new StreamCheck(model)
    : new JsonCheck(model);
}

/** Passes everything on. */
export class PassThroughCheck implements ResponseCheck {
  take(chunk: Buffer): CheckResult {
    return {pass: [chunk]};
  }

  end(): CheckResult {
    return {pass: []};
  }
}

/** Holds a JSON answer until its model is checked; one over the bound passes on its headers. */
class JsonCheck implements ResponseCheck {
  private held: Buffer[] = [];
  private heldBytes = 0;

  constructor(private readonly model: string) {}

  take(chunk: Buffer): CheckResult {
    if (this.heldBytes > MAX_HELD_BYTES) {
      return {pass: [chunk]};
    }
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    return {pass: this.heldBytes > MAX_HELD_BYTES ? this.release() : []};
  }

  end(): CheckResult {
    if (this.heldBytes > MAX_HELD_BYTES) {
      return {pass: []};
    }
    const model = jsonModel(Buffer.concat(this.held).toString('utf8'));
    if (model === undefined) {
      return {pass: [], fault: 'torn'};
    }
    return model === this.model
      ? {pass: this.release()}
      : {pass: [], fault: 'crossed'};
  }

  private release(): Buffer[] {
    const {held} = this;
    this.held = [];
    return held;
  }
}

/** Checks the model of the first event, and that the stream has one end marker at its end. */
class StreamCheck implements ResponseCheck {
  private first: Buffer | undefined = Buffer.alloc(0);
  private tail = '\n';
  private ended = false;

  constructor(private readonly model: string) {}

  take(chunk: Buffer): CheckResult {
    if (!this.follow(chunk)) {
      return {pass: [], fault: 'torn'};
    }
    if (this.first === undefined) {
      return {pass: [chunk]};
    }
    this.first = Buffer.concat([this.first, chunk]);
    const data = firstData(this.first.toString('utf8'));
    if (data === undefined) {
      return this.first.length > MAX_HELD_BYTES
        ? {pass: [], fault: 'torn'}
        : {pass: []};
    }
    if (data !== END_DATA && jsonModel(data) !== this.model) {
      return {pass: [], fault: 'crossed'};
    }
    const pass = [this.first];
    this.first = undefined;
    return {pass};
  }

  end(): CheckResult {
    return this.ended && this.first === undefined
      ? {pass: []}
      : {pass: [], fault: 'torn'};
  }

  /** Takes note of the end marker; false when anything but space follows it. */
  private follow(chunk: Buffer): boolean {
    const text = this.tail + chunk.toString('latin1');
    const end = this.ended ? 0 : text.indexOf(STREAM_END);
    this.tail = text.slice(-STREAM_END.length);
    if (end < 0) {
      return true;
    }
    const rest = this.ended
      ? chunk.toString('latin1')
      : text.slice(end + STREAM_END.length);
    this.ended = true;
    return rest.trim() === '';
  }
}

/** The data of the first whole event that has any; undefined until it is there. */
function firstData(text: string): string | undefined {
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
