const LINE_FEED = 10;
const END_DATA = 'data: [DONE]';
const EVENT_NUMBER = /^id: ?(\d{1,9})\r?$/m;
const NOTHING = Buffer.alloc(0);

/**
 * Lets whole events of a numbered stream through, and nothing of one that has not come
 * to its end, so that a broken stream can go on where it stood. The end marker stays
 * here until the stream is known to be whole.
 */
export class WholeEvents {
  private held: Buffer = NOTHING;
  private lastNumber = -1;
  private begins = true;
  private numbered = true;
  private wrong = false;

  /** Number of the last event that was let through; -1 for none. */
  get last(): number {
    return this.lastNumber;
  }

  /** Whether the rest of a stream began with another event than the one after the last. */
  get isWrong(): boolean {
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
    let end = lastEventEnd(bytes);
    if (this.begins && end > 0) {
      this.checkFirst(bytes);
    }
    if (this.wrong || !this.numbered) {
      this.held = NOTHING;
      return this.wrong ? NOTHING : bytes;
    }
    const lastBegin = lastEventEnd(bytes.subarray(0, Math.max(0, end - 1)));
    if (bytes.subarray(lastBegin, end).includes(END_DATA)) {
      end = lastBegin;
    }
    this.held = bytes.subarray(end);
    this.count(bytes.subarray(0, end));
    return bytes.subarray(0, end);
  }

  /** The end marker, once the stream is known to be whole. */
  end(): Buffer {
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

  private checkFirst(bytes: Buffer): void {
    this.begins = false;
    const number = numberOf(bytes);
    if (this.lastNumber >= 0) {
      this.wrong = number !== this.lastNumber + 1;
    } else {
      this.numbered = number !== undefined;
    }
  }

  private count(passed: Buffer): void {
    if (passed.length > 0) {
      const begin = lastEventEnd(passed.subarray(0, passed.length - 1));
      this.lastNumber = numberOf(passed.subarray(begin)) ?? this.lastNumber;
    }
  }
}

/** Where the last whole event ends; 0 where there is none. */
function lastEventEnd(bytes: Buffer): number {
  let at = bytes.lastIndexOf(LINE_FEED);
  while (at > 0) {
    const before = bytes[at - 1] === 13 ? at - 2 : at - 1;
    if (bytes[before] === LINE_FEED) {
      return at + 1;
    }
    at = bytes.lastIndexOf(LINE_FEED, at - 1);
  }
  return 0;
}

function numberOf(event: Buffer): number | undefined {
  const match = EVENT_NUMBER.exec(event.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
