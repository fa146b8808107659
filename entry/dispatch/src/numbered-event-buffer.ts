import {findBlockEnd, readEventBlock} from './event-block.js';

const EMPTY = Buffer.alloc(0);
/** Maximum size of an incomplete event, in bytes. */
const MAX_EVENT_BYTES = 1_048_576;

/** What the stream is once its first event has arrived. */
type StreamKind = 'unknown' | 'numbered' | 'unnumbered' | 'invalid';

/**
 * Forwards only complete events of a numbered stream, so that a broken stream
 * can be resumed after the last one. The end marker is held back until the
 * stream is known to be complete.
 */
export class NumberedEventBuffer {
  private buffered: Buffer = EMPTY;
  private kind: StreamKind = 'unknown';
  private lastNumber: number;

  /** `after` is the number of the last event that the caller has; -1 if none. */
  constructor(after = -1) {
    this.lastNumber = after;
  }

  /** Size of the incomplete event that is held back, in bytes. */
  get bufferedBytes(): number {
    return this.buffered.length;
  }

  /** Number of the last event that was forwarded; -1 if none. */
  get lastEventNumber(): number {
    return this.lastNumber;
  }

  /**
   * Whether the received bytes cannot be the rest of the stream: a resumed
   * stream did not start with the event after the last one, a number is not
   * higher than the one before it, or the bytes are no events.
   */
  get isInvalid(): boolean {
    return this.kind === 'invalid';
  }

  /**
   * Whether the stream can be resumed; a stream without numbers is forwarded
   * unchanged.
   */
  get isNumbered(): boolean {
    return this.kind !== 'unnumbered';
  }

  /** Adds received bytes; returns those that can be forwarded. */
  add(chunk: Buffer): Buffer {
    if (this.kind === 'unnumbered') {
      return chunk;
    }
    const bytes =
      this.buffered.length === 0
        ? chunk
        : Buffer.concat([this.buffered, chunk]);
    const end = this.acceptBlocks(bytes);
    // `acceptBlocks` may have found that the stream has no numbers.
    if (!this.isNumbered) {
      this.buffered = EMPTY;
      return bytes;
    }
    if (bytes.length - end > MAX_EVENT_BYTES) {
      this.kind = 'invalid';
    }
    this.buffered = this.isInvalid ? EMPTY : bytes.subarray(end);
    return bytes.subarray(0, end);
  }

  /**
   * Returns what was held back, once the stream is known to be complete: the
   * end marker, or a body that is no stream. Undefined if the bytes cannot be
   * the end of the stream.
   */
  finish(): Buffer | undefined {
    const {buffered} = this;
    this.buffered = EMPTY;
    if (this.kind === 'unknown' && this.lastNumber < 0) {
      return buffered;
    }
    const {hasEvent, isEndMarker, isValid} = readEventBlock(
      buffered,
      0,
      buffered.length,
    );
    return isValid && (isEndMarker || !hasEvent) ? buffered : undefined;
  }

  /**
   * Drops the buffered bytes; the stream will be resumed after the last event.
   */
  restart(): void {
    this.buffered = EMPTY;
    this.kind = 'unknown';
  }

  /** Accepts the complete blocks of `bytes` up to the end marker; returns their end. */
  private acceptBlocks(bytes: Buffer): number {
    let start = 0;
    for (;;) {
      const end = findBlockEnd(bytes, start);
      if (end === undefined || !this.acceptBlock(bytes, start, end)) {
        return start;
      }
      start = end;
    }
  }

  /** Whether the block from `start` to before `end` can be forwarded now. */
  private acceptBlock(bytes: Buffer, start: number, end: number): boolean {
    const block = readEventBlock(bytes, start, end);
    const {hasEvent, isEndMarker, isValid, number} = block;
    const isFirst = this.kind === 'unknown';
    if (isValid && !hasEvent) {
      return true;
    }
    if (isFirst && this.lastNumber < 0) {
      this.kind = isValid && number !== undefined ? 'numbered' : 'unnumbered';
    } else if (!isValid || !this.isNext(number, isFirst)) {
      this.kind = 'invalid';
    } else {
      this.kind = 'numbered';
    }
    if (this.kind !== 'numbered' || isEndMarker) {
      return false;
    }
    this.lastNumber = number ?? this.lastNumber;
    return true;
  }

  /** Whether an event with this number may follow the last one. */
  private isNext(number: number | undefined, isFirst: boolean): boolean {
    return isFirst
      ? number === this.lastNumber + 1
      : number === undefined || number > this.lastNumber;
  }
}
