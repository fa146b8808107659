const BLANK_LINE = Buffer.from('\n\n');
const BLANK_LINE_CRLF = Buffer.from('\n\r\n');
const END_MARKER = Buffer.from('data: [DONE]');
const NUMBER_FIELD = Buffer.from('id: ');
const CODE_ZERO = 48;
const CODE_NINE = 57;
const EVENT_NUMBER = /^id: ?(\d{1,9})\r?$/m;
const EMPTY = Buffer.alloc(0);
/** Maximum size of an incomplete event, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Forwards only complete events of a numbered stream, so that a broken stream
 * can be resumed after the last one. The end marker is held back until the
 * stream is known to be complete.
 */
export class NumberedEventBuffer {
  private buffered: Buffer = EMPTY;
  private lastNumber = -1;
  private isAtStart = true;
  private hasNumbers = true;
  private invalid = false;

  /** Number of the last event that was forwarded; -1 if none. */
  get lastEventNumber(): number {
    return this.lastNumber;
  }

  /**
   * Whether the received bytes cannot be the rest of the stream: a resumed
   * stream did not start with the event after the last one, or an event exceeds
   * the maximum size.
   */
  get isInvalid(): boolean {
    return this.invalid;
  }

  /**
   * Whether the stream can be resumed; a stream without numbers is forwarded
   * unchanged.
   */
  get isNumbered(): boolean {
    return this.hasNumbers;
  }

  /** Adds received bytes; returns those that can be forwarded. */
  add(chunk: Buffer): Buffer {
    if (!this.hasNumbers) {
      return chunk;
    }
    const bytes =
      this.buffered.length === 0
        ? chunk
        : Buffer.concat([this.buffered, chunk]);
    let end = findEventEnd(bytes, bytes.length + 1);
    if (this.isAtStart && end > 0) {
      this.checkFirstNumber(bytes, end);
    }
    if (this.invalid || !this.hasNumbers) {
      this.buffered = EMPTY;
      return this.invalid ? EMPTY : bytes;
    }
    let start = findEventEnd(bytes, end);
    const marker = bytes.indexOf(END_MARKER, start);
    if (marker >= 0 && marker < end) {
      end = start;
      start = findEventEnd(bytes, end);
    }
    if (bytes.length - end > MAX_EVENT_BYTES) {
      this.invalid = true;
      this.buffered = EMPTY;
      return EMPTY;
    }
    this.buffered = end === bytes.length ? EMPTY : bytes.subarray(end);
    if (end > 0) {
      const number = parseEventNumber(bytes, start, end);
      this.lastNumber = number ?? this.lastNumber;
    }
    return end === bytes.length ? bytes : bytes.subarray(0, end);
  }

  /** Returns the end marker; called once the stream is known to be complete. */
  flush(): Buffer {
    const {buffered} = this;
    this.buffered = EMPTY;
    return buffered;
  }

  /**
   * Drops the buffered bytes; the stream will be resumed after the last event.
   */
  restart(): void {
    this.buffered = EMPTY;
    this.isAtStart = true;
    this.invalid = false;
  }

  private checkFirstNumber(bytes: Buffer, end: number): void {
    this.isAtStart = false;
    const number = parseEventNumber(bytes, 0, end);
    if (this.lastNumber >= 0) {
      this.invalid = number !== this.lastNumber + 1;
    } else {
      this.hasNumbers = number !== undefined;
    }
  }
}

/** End of the last event that ends before `end`; 0 if there is none. */
function findEventEnd(bytes: Buffer, end: number): number {
  const lastAfter = (line: Buffer) => {
    const from = end - 1 - line.length;
    const at = from < 0 ? -1 : bytes.lastIndexOf(line, from);
    return at < 0 ? 0 : at + line.length;
  };
  return Math.max(lastAfter(BLANK_LINE), lastAfter(BLANK_LINE_CRLF));
}

/** The number of the event that starts at `start`; undefined if it has none. */
function parseEventNumber(
  bytes: Buffer,
  start: number,
  end: number,
): number | undefined {
  if (!NUMBER_FIELD.every((byte, index) => bytes[start + index] === byte)) {
    const match = EVENT_NUMBER.exec(bytes.toString('latin1', start, end));
    return match === null ? undefined : Number(match[1]);
  }
  const first = start + NUMBER_FIELD.length;
  let number = 0;
  let position = first;
  while (bytes[position] >= CODE_ZERO && bytes[position] <= CODE_NINE) {
    number = number * 10 + bytes[position] - CODE_ZERO;
    position += 1;
  }
  return position === first ? undefined : number;
}
