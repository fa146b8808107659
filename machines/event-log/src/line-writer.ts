import fs from 'node:fs';

/** Options of a line writer. */
export interface LineWriterOptions {
  /** File descriptor that is written to. */
  readonly descriptor: number;
  /** Bytes that may wait; further lines are dropped. */
  readonly maxWaitingBytes?: number;
  /** Called with the number of lines that were dropped, once lines are read again. */
  readonly onDropped?: (lines: number) => void;
}

/** Some thousand lines: those of a few seconds under load. */
const DEFAULT_MAX_WAITING_BYTES = 1_048_576;
const RETRY_MS = 50;

/**
 * Writes lines without ever blocking the process: they wait in a bounded buffer while
 * nobody reads, and are dropped and counted beyond it.
 */
export class LineWriter {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private writing = false;
  private closed = false;

  constructor(private readonly options: LineWriterOptions) {}

  /** Writes a line; false where it is dropped. */
  write(line: string): boolean {
    const limit = this.options.maxWaitingBytes ?? DEFAULT_MAX_WAITING_BYTES;
    if (this.closed || this.waitingBytes + line.length > limit) {
      this.dropped += 1;
      return false;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    if (!this.writing) {
      this.writing = true;
      setImmediate(() => this.pump());
    }
    return true;
  }

  /** Writes at once what waits, as before the process ends. */
  flush(): void {
    const text = this.waiting.map(line => `${line}\n`).join('');
    this.waiting = [];
    try {
      fs.writeSync(this.options.descriptor, text);
    } catch {
      // Nobody reads, and the process is about to end.
      this.closed = true;
    }
  }

  private pump(): void {
    if (this.waiting.length === 0) {
      this.writing = false;
      this.reportDropped();
      return;
    }
    const text = `${this.waiting.join('\n')}\n`;
    this.waiting = [];
    this.writeAll(Buffer.from(text), 0);
  }

  private writeAll(bytes: Buffer, from: number): void {
    const {descriptor} = this.options;
    fs.write(descriptor, bytes, from, bytes.length - from, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeAll(bytes, from), RETRY_MS).unref();
      } else if (error !== null) {
        // Nobody reads any more, and there is no other place to say so.
        this.closed = true;
        this.waiting = [];
      } else if (from + written < bytes.length) {
        this.writeAll(bytes, from + written);
      } else {
        this.waitingBytes = this.waiting.reduce(
          (sum, line) => sum + line.length,
          0,
        );
        this.pump();
      }
    });
  }

  private reportDropped(): void {
    const {dropped} = this;
    this.dropped = 0;
    if (dropped > 0) {
      this.options.onDropped?.(dropped);
    }
  }
}
