import fs from 'node:fs';

/** Options of a line writer. */
export interface LineWriterOptions {
  /** File descriptor to write to. */
  readonly descriptor: number;
  /** Number of characters that may be buffered; further lines are dropped. */
  readonly maxBufferedCharacters?: number;
  /** Called with the number of dropped lines once lines are read again. */
  readonly onDropped?: (lines: number) => void;
}

/** Holds several thousand lines, which is a few seconds of output under load. */
const DEFAULT_MAX_BUFFERED_CHARACTERS = 1_048_576;
const RETRY_DELAY_MS = 50;
/** Errors after which the same bytes may be written later: a slow reader, or a full disk. */
const TEMPORARY_ERRORS: readonly (string | undefined)[] = [
  'EAGAIN',
  'ENOSPC',
  'EDQUOT',
];

/**
 * Writes lines without blocking the process. Lines that cannot be written yet are kept in a
 * bounded buffer; lines that do not fit are dropped and counted.
 */
export class LineWriter {
  private buffered: string[] = [];
  private bufferedCharacters = 0;
  private droppedCount = 0;
  private isWriting = false;
  private isClosed = false;

  constructor(private readonly options: LineWriterOptions) {}

  /** Writes a line; returns false if it is dropped. */
  write(line: string): boolean {
    const limit =
      this.options.maxBufferedCharacters ?? DEFAULT_MAX_BUFFERED_CHARACTERS;
    if (this.isClosed || this.bufferedCharacters + line.length > limit) {
      this.droppedCount += 1;
      return false;
    }
    this.buffered.push(line);
    this.bufferedCharacters += line.length;
    if (!this.isWriting) {
      this.isWriting = true;
      setImmediate(() => this.writeNext());
    }
    return true;
  }

  /** Writes the buffered lines synchronously, for use before the process exits. */
  flush(): void {
    const text = this.buffered.map(line => `${line}\n`).join('');
    this.buffered = [];
    try {
      fs.writeSync(this.options.descriptor, text);
    } catch {
      // Nothing reads the lines, and the process is about to exit.
      this.isClosed = true;
    }
  }

  private writeNext(): void {
    if (this.buffered.length === 0) {
      this.isWriting = false;
      this.reportDropped();
      return;
    }
    const text = `${this.buffered.join('\n')}\n`;
    this.buffered = [];
    this.writeAll(Buffer.from(text), 0);
  }

  private writeAll(bytes: Buffer, from: number): void {
    const {descriptor} = this.options;
    fs.write(descriptor, bytes, from, bytes.length - from, (error, written) => {
      if (error !== null && TEMPORARY_ERRORS.includes(error.code)) {
        setTimeout(() => this.writeAll(bytes, from), RETRY_DELAY_MS).unref();
      } else if (error !== null) {
        // Nothing reads the lines any more, and there is no other place to report this.
        this.isClosed = true;
        this.buffered = [];
      } else if (from + written < bytes.length) {
        this.writeAll(bytes, from + written);
      } else {
        this.bufferedCharacters = this.buffered.reduce(
          (sum, line) => sum + line.length,
          0,
        );
        this.writeNext();
      }
    });
  }

  private reportDropped(): void {
    const {droppedCount: dropped} = this;
    this.droppedCount = 0;
    if (dropped > 0) {
      this.options.onDropped?.(dropped);
    }
  }
}
