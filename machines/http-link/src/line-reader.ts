import type {Reservation} from '@marigoldspur/memory-budget';
import {PieceList} from '@marigoldspur/request-bodies';

/** Thrown for a line that is longer than its reader allows or has memory for. */
export class LineTooLongError extends Error {}

/** Splits a stream of bytes into lines of limited length. */
export class LineReader {
  private pieces = new PieceList();

  /**
   * `maxBytes` is the maximum length of a line without its newline. An incomplete line takes its
   * memory from `reservation`, if there is one.
   */
  constructor(
    private readonly maxBytes: number,
    private readonly reservation?: Pick<Reservation, 'resize'>,
  ) {}

  /** Adds a chunk of the stream and returns the lines that it completes. Throws `LineTooLongError`. */
  push(chunk: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    for (;;) {
      const end = chunk.indexOf('\n', start);
      if (end === -1) {
        this.buffer(chunk.subarray(start));
        return lines;
      }
      this.buffer(chunk.subarray(start, end));
      lines.push(this.takeLine());
      start = end + 1;
    }
  }

  private buffer(chunk: Buffer): void {
    const bytes = this.pieces.byteLength + chunk.length;
    if (bytes > this.maxBytes) {
      throw new LineTooLongError(
        `a line is longer than ${this.maxBytes} bytes`,
      );
    }
    this.pieces.add(chunk);
    if (this.reservation?.resize(this.pieces.allocatedBytes) === false) {
      throw new LineTooLongError(
        `the process lacks the memory for a line of ${bytes} bytes`,
      );
    }
  }

  private takeLine(): string {
    const pieces = this.pieces.finish();
    this.pieces = new PieceList();
    this.reservation?.resize(0);
    return pieces.length === 1
      ? pieces[0].toString()
      : Buffer.concat(pieces).toString();
  }
}
