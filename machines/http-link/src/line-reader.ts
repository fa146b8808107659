/** Thrown for a line that is longer than its reader allows. */
export class LineTooLongError extends Error {}

/** Splits a stream of bytes into lines of limited length. */
export class LineReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;

  /** `maxBytes` is the maximum length of a line without its newline. */
  constructor(private readonly maxBytes: number) {}

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
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > this.maxBytes) {
      throw new LineTooLongError(
        `a line is longer than ${this.maxBytes} bytes`,
      );
    }
    if (chunk.length > 0) {
      this.chunks.push(chunk);
    }
  }

  private takeLine(): string {
    const {chunks} = this;
    this.chunks = [];
    this.bufferedBytes = 0;
    return chunks.length === 1
      ? chunks[0].toString()
      : Buffer.concat(chunks).toString();
  }
}
