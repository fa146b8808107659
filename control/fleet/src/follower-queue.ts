import type {Writable} from 'node:stream';
import type {Reservation} from '@marigoldspur/memory-budget';

/** Options of a follower queue. */
export interface FollowerQueueOptions {
  readonly output: Pick<Writable, 'write'>;
  /** Grows and shrinks with the bytes that the follower has not read. */
  readonly reservation: Pick<Reservation, 'resize' | 'release'>;
  /** Present time, in milliseconds. */
  readonly now: () => number;
}

/** Bytes that are written before the follower has read some of them, so that its progress shows. */
const WINDOW_BYTES = 65_536;
/** Unread bytes that need no reservation, because each connection has memory for a head. */
const UNRESERVED_BYTES = 16_384;

/** Lines that a follower has not read yet. Lines are shared with the queues of other followers. */
export class FollowerQueue {
  private readonly lines: Buffer[] = [];
  /** Bytes of the first line that were written. */
  private offset = 0;
  private unread = 0;
  private progressed: number;
  /** Bytes that were written and not read yet. */
  private writtenBytes = 0;
  private ended = false;

  constructor(private readonly options: FollowerQueueOptions) {
    this.progressed = options.now();
  }

  /** Whether all lines were dropped, after which no line is taken. */
  get isEnded(): boolean {
    return this.ended;
  }

  /** Bytes that the follower has not read yet. */
  get unreadBytes(): number {
    return this.unread;
  }

  /** When the follower last read something or had read everything, in milliseconds. */
  get progressedAt(): number {
    return this.unread === 0 ? this.options.now() : this.progressed;
  }

  /** Whether there is memory for `bytes` more. */
  canHold(bytes: number): boolean {
    const canHold = !this.ended && this.reserve(this.unread + bytes);
    this.reserve(this.unread);
    return canHold;
  }

  /** Adds a line; false, without a change, if there is no memory for it. */
  push(line: Buffer): boolean {
    if (this.ended || !this.reserve(this.unread + line.length)) {
      return false;
    }
    if (this.unread === 0) {
      this.progressed = this.options.now();
    }
    this.unread += line.length;
    this.lines.push(line);
    this.writeNext();
    return true;
  }

  /** Drops all lines. */
  end(): void {
    this.ended = true;
    this.lines.length = 0;
    this.unread = 0;
    this.options.reservation.release();
  }

  private reserve(bytes: number): boolean {
    const {reservation} = this.options;
    return reservation.resize(Math.max(0, bytes - UNRESERVED_BYTES));
  }

  private writeNext(): void {
    const {lines} = this;
    while (lines.length > 0 && this.writtenBytes < WINDOW_BYTES) {
      const end = Math.min(this.offset + WINDOW_BYTES, lines[0].length);
      const slice = lines[0].subarray(this.offset, end);
      this.offset = end;
      if (end === lines[0].length) {
        lines.shift();
        this.offset = 0;
      }
      this.writtenBytes += slice.length;
      this.options.output.write(slice, () => this.handleRead(slice.length));
    }
  }

  private handleRead(bytes: number): void {
    if (!this.ended) {
      this.progressed = this.options.now();
      this.writtenBytes -= bytes;
      this.unread -= bytes;
      this.reserve(this.unread);
      this.writeNext();
    }
  }
}
