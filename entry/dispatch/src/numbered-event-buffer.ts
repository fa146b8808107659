const BLANK_LINE = Buffer.from('\n\n');
const BLANK_LINE_CRLF = Buffer.from('\n\r\n');
const END_DATA = Buffer.from('data: [DONE]');
const NUMBER_FIELD = Buffer.from('id: ');
const ZERO = 48;
const NINE = 57;
const EVENT_NUMBER = /^id: ?(\d{1,9})\r?$/m;
const NOTHING = Buffer.alloc(0);
/** Longest event that is held until it is whole. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Lets whole events of a numbered stream through, and nothing of one that has not come
 * to its end, so that a broken stream can go on where it stood. The end marker stays
 * here until the stream is known to be whole.
 */
export class NumberedEventBuffer {
  private held: Buffer = NOTHING;
  private lastNumber = -1;
  private begins = true;
  private numbered = true;
  private wrong = false;

  /** Number of the last event that was let through; -1 for none. */
  get lastEventNumber(): number {
    return this.lastNumber;
  }

  /** Whether the rest of a stream began with another event than the one after the last. */
  get isOutOfSequence(): boolean {
    return this.wrong;
  }

  /** Whether the stream can go on: one without numbers goes through as it comes. */
  get isNumbered(): boolean {
    return this.numbered;
  }

  /** Takes the next bytes; gives those that may go on. */
  add(chunk: Buffer): Buffer {
    if (!this.numbered) {
      return chunk;
    }
    const bytes =
      this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    let end = eventEndBefore(bytes, bytes.length + 1);
    if (this.begins && end > 0) {
      this.checkFirst(bytes, end);
    }
    if (this.wrong || !this.numbered) {
      this.held = NOTHING;
      return this.wrong ? NOTHING : bytes;
    }
    let begin = eventEndBefore(bytes, end);
    const marker = bytes.indexOf(END_DATA, begin);
    if (marker >= 0 && marker < end) {
      end = begin;
      begin = eventEndBefore(bytes, end);
    }
    if (bytes.length - end > MAX_EVENT_BYTES) {
      // What is held has a bound; the stream goes through and can't go on any more.
      this.numbered = false;
      this.held = NOTHING;
      return bytes;
    }
    this.held = end === bytes.length ? NOTHING : bytes.subarray(end);
    if (end > 0) {
      const number = numberAt(bytes, begin, end);
      this.lastNumber = number ?? this.lastNumber;
    }
    return end === bytes.length ? bytes : bytes.subarray(0, end);
  }

  /** The end marker, once the stream is known to be whole. */
  flush(): Buffer {
    const {held} = this;
    this.held = NOTHING;
    return held;
  }

  /** Forgets what has not gone on; the stream is to go on after the last event. */
  restart(): void {
    this.held = NOTHING;
    this.begins = true;
    this.wrong = false;
  }

  private checkFirst(bytes: Buffer, end: number): void {
    this.begins = false;
    const number = numberAt(bytes, 0, end);
    if (this.lastNumber >= 0) {
      this.wrong = number !== this.lastNumber + 1;
    } else {
      this.numbered = number !== undefined;
    }
  }
}

/** Where the last event ends that ends before `end`; 0 where there is none. */
function eventEndBefore(bytes: Buffer, end: number): number {
  const last = (line: Buffer) => {
    const from = end - 1 - line.length;
    const at = from < 0 ? -1 : bytes.lastIndexOf(line, from);
    return at < 0 ? 0 : at + line.length;
  };
  return Math.max(last(BLANK_LINE), last(BLANK_LINE_CRLF));
}

/** The number of the event that begins at `begin`; undefined where it has none. */
function numberAt(
  bytes: Buffer,
  begin: number,
  end: number,
): number | undefined {
  if (!NUMBER_FIELD.every((byte, index) => bytes[begin + index] === byte)) {
    const match = EVENT_NUMBER.exec(bytes.toString('latin1', begin, end));
    return match === null ? undefined : Number(match[1]);
  }
  const first = begin + NUMBER_FIELD.length;
  let number = 0;
  let at = first;
  while (bytes[at] >= ZERO && bytes[at] <= NINE) {
    number = number * 10 + bytes[at] - ZERO;
    at += 1;
  }
  return at === first ? undefined : number;
}
