import {EventBlockScanner, type EventBlock} from './event-block.js';

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
  /** The bytes held back, at its start; it grows by doubling, so that small pieces cost little. */
  private held: Buffer = EMPTY;
  private heldBytes = 0;
  private scanner = new EventBlockScanner();
  private kind: StreamKind = 'unknown';
  private lastNumber: number;

  /** `after` is the number of the last event that the caller has; -1 if none. */
  constructor(after = -1) {
    this.lastNumber = after;
  }

  /** Size of the incomplete event that is held back, in bytes. */
  get bufferedBytes(): number {
    return this.heldBytes;
  }

  /** Number of the last event that was forwarded; -1 if none. */
  get lastEventNumber(): number {
    return this.lastNumber;
  }

  /**
   * Whether the received bytes cannot be the rest of the stream: a resumed
   * stream did not start with the event after the last one, a number is not
   * higher than the one before it or can't be read, or the bytes are no events.
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
    const end = this.acceptBlocks(chunk);
    // `acceptBlocks` may have found that the stream has no numbers.
    if (!this.isNumbered) {
      return this.takeHeld(chunk);
    }
    const accepted = end === 0 ? EMPTY : this.takeHeld(chunk.subarray(0, end));
    this.hold(chunk.subarray(end));
    if (this.heldBytes > MAX_EVENT_BYTES) {
      this.kind = 'invalid';
    }
    if (this.isInvalid) {
      this.drop();
    }
    return accepted;
  }

  /**
   * Returns what was held back, once the stream is known to be complete: the
   * end marker, or a body that is no stream. Undefined if the bytes cannot be
   * the end of the stream.
   */
  finish(): Buffer | undefined {
    const rest = this.takeHeld(EMPTY);
    const isUnread = this.kind === 'unknown' && this.lastNumber < 0;
    if (isUnread || this.kind === 'unnumbered') {
      return rest;
    }
    this.scanner.finishLine();
    const {hasEvent, isEndMarker, isValid} = this.scanner.block;
    return isValid && (isEndMarker || !hasEvent) ? rest : undefined;
  }

  /**
   * Drops the buffered bytes; the stream will be resumed after the last event.
   */
  restart(): void {
    this.drop();
    this.scanner = new EventBlockScanner();
    this.kind = 'unknown';
  }

  private drop(): void {
    this.held = EMPTY;
    this.heldBytes = 0;
  }

  private hold(bytes: Buffer): void {
    const length = this.heldBytes + bytes.length;
    if (length > this.held.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, 2 * this.held.length));
      this.held.copy(grown, 0, 0, this.heldBytes);
      this.held = grown;
    }
    bytes.copy(this.held, this.heldBytes);
    this.heldBytes = length;
  }

  /** Returns the bytes held back and `bytes` after them; holds back nothing more. */
  private takeHeld(bytes: Buffer): Buffer {
    if (this.heldBytes === 0) {
      return bytes;
    }
    const held = this.held.subarray(0, this.heldBytes);
    this.drop();
    return bytes.length === 0 ? held : Buffer.concat([held, bytes]);
  }

  /** Accepts the complete blocks of `bytes` up to the end marker; returns their end. */
  private acceptBlocks(bytes: Buffer): number {
    const {scanner} = this;
    let accepted = 0;
    let end = scanner.findBlockEnd(bytes, 0);
    while (end !== undefined) {
      // What follows the end marker is read as part of it, and held back like it.
      if (this.acceptBlock(scanner.block)) {
        accepted = end;
        scanner.startBlock();
      }
      if (this.kind === 'unnumbered' || this.isInvalid) {
        return accepted;
      }
      end = scanner.findBlockEnd(bytes, end);
    }
    return accepted;
  }

  /** Whether the block can be forwarded now. */
  private acceptBlock(block: EventBlock): boolean {
    const {hasEvent, hasUnreadableId, isEndMarker, number} = block;
    const isValid = block.isValid && !hasUnreadableId;
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
