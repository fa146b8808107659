const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const END_MARKER = 'data: [DONE]';
/** A line of an event: a comment, or a field name with an optional value (HTML, 9.2.6). */
const LINE = /^(?::|[a-z][a-z0-9-]*(?::|$))/;
const NUMBER = /^id: ?(\d{1,9})$/;
/** Lines that belong to no event: comments and the reconnection time. */
const CONTROL_LINE = /^(?::|retry:)/;

/** The lines of a stream up to an empty one: an event, or comments alone. */
export interface EventBlock {
  /** Number of the event; undefined if it states none. */
  readonly number: number | undefined;
  /** Whether all lines are lines of an event stream. */
  readonly isValid: boolean;
  /** Whether the block holds an event and not only comments or a reconnection time. */
  readonly hasEvent: boolean;
  /** Whether the block is the marker that ends an engine's stream. */
  readonly isEndMarker: boolean;
}

/** Reads the block in `bytes` from `start` to before `end`. */
export function readEventBlock(
  bytes: Buffer,
  start: number,
  end: number,
): EventBlock {
  const lines = bytes
    .toString('latin1', start, end)
    .split('\n')
    .map(line => (line.endsWith('\r') ? line.slice(0, -1) : line))
    .filter(line => line !== '');
  const numbers = lines.map(line => NUMBER.exec(line)?.[1]).filter(Boolean);
  return {
    number: numbers.length === 0 ? undefined : Number(numbers[0]),
    isValid: lines.every(line => LINE.test(line)),
    hasEvent: lines.some(line => !CONTROL_LINE.test(line)),
    isEndMarker: lines.includes(END_MARKER),
  };
}

/** End of the first block in `bytes` that starts at `start`; undefined if it has not ended. */
export function findBlockEnd(bytes: Buffer, start: number): number | undefined {
  let lineEnd = bytes.indexOf(LINE_FEED, start);
  while (lineEnd >= 0) {
    const next = lineEnd + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    if (bytes[next] === CARRIAGE_RETURN && bytes[next + 1] === LINE_FEED) {
      return next + 2;
    }
    lineEnd = bytes.indexOf(LINE_FEED, next);
  }
  return undefined;
}
