/** A line was longer than its reader allows. */
export class LineTooLongError extends Error {}

/** Cuts a stream of bytes into lines of at most a number of bytes. */
export class LineReader {
  private pieces: Buffer[] = [];
  private heldBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** The lines that a piece of the stream completes. Throws `LineTooLong`. */
  push(piece: Buffer): string[] {
    const lines: string[] = [];
    let start = 0;
    for (;;) {
      const end = piece.indexOf('\n', start);
      if (end === -1) {
        this.hold(piece.subarray(start));
        return lines;
      }
      this.hold(piece.subarray(start, end));
      lines.push(this.release());
      start = end + 1;
    }
  }

  private hold(piece: Buffer): void {
    this.heldBytes += piece.length;
    if (this.heldBytes > this.maxBytes) {
      throw new LineTooLongError(`a line is over ${this.maxBytes} bytes`);
    }
    if (piece.length > 0) {
      this.pieces.push(piece);
    }
  }

  private release(): string {
    const {pieces} = this;
    this.pieces = [];
    this.heldBytes = 0;
    return pieces.length === 1
      ? pieces[0].toString()
      : Buffer.concat(pieces).toString();
  }
}
