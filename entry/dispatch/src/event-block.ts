import {parseEventNumber} from '@marigoldspur/messages';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const DASH = 45;
const DIGIT_0 = 48;
const DIGIT_9 = 57;
const COLON = 58;
const LETTER_A = 97;
const LETTER_Z = 122;
const END_MARKER = Buffer.from('data: [DONE]');
const ID_FIELD = Buffer.from('id:');
const RETRY_FIELD = Buffer.from('retry:');
/** Number of bytes at the start of a line that tell what it is; a longer field name is invalid. */
const LINE_HEAD_BYTES = 64;

/** The lines of a stream up to an empty one: an event, or comments alone. */
export interface EventBlock {
  /** Number of the event; undefined if it states none, or one that can't be read. */
  readonly number: number | undefined;
  /** Whether the event states an ID that is not a number, or several IDs. */
  readonly hasUnreadableId: boolean;
  /** Whether all lines are lines of an event stream. */
  readonly isValid: boolean;
  /** Whether the block holds an event and not only comments or a reconnection time. */
  readonly hasEvent: boolean;
  /** Whether the block is the marker that ends an engine's stream. */
  readonly isEndMarker: boolean;
}

/** Reads the blocks of a stream in one pass over bytes that may be cut anywhere. */
export class EventBlockScanner {
  private number: number | undefined;
  private hasUnreadableId = false;
  private isValid = true;
  private hasEvent = false;
  private isEndMarker = false;
  /** Start of a line whose end has not arrived. */
  private readonly lineHead = Buffer.alloc(LINE_HEAD_BYTES);
  private lineHeadBytes = 0;
  private isLineLong = false;

  /** What is known of the block whose lines are being read. */
  get block(): EventBlock {
    const {hasEvent, hasUnreadableId, isEndMarker, isValid, number} = this;
    return {number, hasUnreadableId, isValid, hasEvent, isEndMarker};
  }

  /** Starts a new block after the lines that were read. */
  startBlock(): void {
    this.number = undefined;
    this.hasUnreadableId = false;
    this.isValid = true;
    this.hasEvent = false;
    this.isEndMarker = false;
  }

  /**
   * Reads `bytes` from `start` to the empty line that ends the block; returns the position after
   * it, or undefined if the block goes on after `bytes`.
   */
  findBlockEnd(bytes: Buffer, start: number): number | undefined {
    let lineStart = start;
    for (;;) {
      const lineEnd = findLineEnd(bytes, lineStart);
      if (lineEnd < 0) {
        this.keepLineHead(bytes, lineStart);
        return undefined;
      }
      if (this.readLine(bytes, lineStart, lineEnd)) {
        return lineEnd + 1;
      }
      lineStart = lineEnd + 1;
    }
  }

  /** Reads the last line, which no line break ends. */
  finishLine(): void {
    this.readLine(this.lineHead, 0, 0);
  }

  private keepLineHead(bytes: Buffer, start: number): void {
    const end = Math.min(
      bytes.length,
      start + LINE_HEAD_BYTES - this.lineHeadBytes,
    );
    this.lineHeadBytes += bytes.copy(
      this.lineHead,
      this.lineHeadBytes,
      start,
      end,
    );
    this.isLineLong ||= end < bytes.length;
  }

  /** Reads a line that ends before `end`; returns whether it is empty. */
  private readLine(bytes: Buffer, start: number, end: number): boolean {
    if (this.lineHeadBytes === 0) {
      return this.readWholeLine(bytes, start, end, false);
    }
    this.keepLineHead(bytes.subarray(start, end), 0);
    const {isLineLong, lineHead, lineHeadBytes} = this;
    this.lineHeadBytes = 0;
    this.isLineLong = false;
    return this.readWholeLine(lineHead, 0, lineHeadBytes, isLineLong);
  }

  /** `isLong` is set if the line goes on after `lineEnd`. */
  private readWholeLine(
    bytes: Buffer,
    start: number,
    lineEnd: number,
    isLong: boolean,
  ): boolean {
    const hasReturn = !isLong && bytes[lineEnd - 1] === CARRIAGE_RETURN;
    const end = hasReturn && lineEnd > start ? lineEnd - 1 : lineEnd;
    if (end === start) {
      return true;
    }
    if (bytes[start] === COLON) {
      return false;
    }
    this.hasEvent ||= !startsWith(bytes, start, end, RETRY_FIELD);
    this.isValid &&= isField(bytes, start, end, isLong);
    if (!isLong) {
      this.isEndMarker ||=
        end - start === END_MARKER.length &&
        startsWith(bytes, start, end, END_MARKER);
    }
    if (startsWith(bytes, start, end, ID_FIELD)) {
      this.readId(bytes, start + ID_FIELD.length, end, isLong);
    }
    return false;
  }

  private readId(
    bytes: Buffer,
    start: number,
    end: number,
    isLong: boolean,
  ): void {
    const isReadable = !isLong && end - start <= LINE_HEAD_BYTES;
    const number = isReadable
      ? parseEventNumber(bytes.toString('latin1', start, end))
      : undefined;
    const isChanged = this.number !== undefined && this.number !== number;
    this.number ??= number;
    this.hasUnreadableId ||= number === undefined || isChanged;
  }
}

/** Position of the next line feed from `start`; -1 if there is none. */
function findLineEnd(bytes: Buffer, start: number): number {
  // For short lines a call of `indexOf` costs more than the search.
  const nearEnd = Math.min(bytes.length, start + LINE_HEAD_BYTES);
  for (let index = start; index < nearEnd; index += 1) {
    if (bytes[index] === LINE_FEED) {
      return index;
    }
  }
  return bytes.indexOf(LINE_FEED, nearEnd);
}

function startsWith(
  bytes: Buffer,
  start: number,
  end: number,
  text: Buffer,
): boolean {
  if (end - start < text.length) {
    return false;
  }
  for (let index = 0; index < text.length; index += 1) {
    if (bytes[start + index] !== text[index]) {
      return false;
    }
  }
  return true;
}

/** Whether a line is a field name with an optional value (HTML, 9.2.6). */
function isField(
  bytes: Buffer,
  start: number,
  end: number,
  isLong: boolean,
): boolean {
  const nameEnd = Math.min(end, start + LINE_HEAD_BYTES);
  for (let index = start; index < nameEnd; index += 1) {
    const byte = bytes[index];
    const isLetter = byte >= LETTER_A && byte <= LETTER_Z;
    const isOther = byte === DASH || (byte >= DIGIT_0 && byte <= DIGIT_9);
    if (!isLetter && (index === start || !isOther)) {
      return byte === COLON && index > start;
    }
  }
  return nameEnd === end && !isLong;
}
