/** A range of the bytes of a stream. */
export interface ByteRange {
  readonly start: number;
  readonly end: number;
}

const LINE_FEED = '\n';
const CARRIAGE_RETURN = '\r';
const DATA_PREFIX = 'data:';

/**
 * Finds the first event of a stream that has data, however the stream is divided into chunks. Reads
 * each byte once and keeps none.
 */
export class FirstDataFinder {
  private lineStart = 0;
  private lineBytes = 0;
  /** The first bytes of the current line, as Latin-1. */
  private lineHead = '';
  private data: ByteRange | undefined;

  /**
   * Reads the next chunk. Returns where in the stream the first line with data has its data, once
   * the event with that line is complete.
   */
  add(chunk: Buffer): ByteRange | undefined {
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(LINE_FEED, start);
      if (end < 0) {
        this.addToLine(chunk, start, chunk.length);
        return undefined;
      }
      this.addToLine(chunk, start, end);
      if (this.data !== undefined && this.isLineBlank) {
        return this.data;
      }
      this.endLine();
      start = end + 1;
    }
  }

  private get isLineBlank(): boolean {
    const {lineBytes, lineHead} = this;
    return lineBytes === 0 || (lineBytes === 1 && lineHead === CARRIAGE_RETURN);
  }

  private addToLine(chunk: Buffer, start: number, end: number): void {
    const missing = DATA_PREFIX.length - this.lineHead.length;
    if (missing > 0) {
      const headEnd = Math.min(end, start + missing);
      this.lineHead += chunk.toString('latin1', start, headEnd);
    }
    this.lineBytes += end - start;
  }

  private endLine(): void {
    const {lineBytes, lineHead, lineStart} = this;
    const lineEnd = lineStart + lineBytes;
    if (this.data === undefined && lineHead === DATA_PREFIX) {
      this.data = {start: lineStart + DATA_PREFIX.length, end: lineEnd};
    }
    this.lineStart = lineEnd + LINE_FEED.length;
    this.lineBytes = 0;
    this.lineHead = '';
  }
}
