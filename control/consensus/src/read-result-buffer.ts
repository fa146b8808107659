import type {ConfirmedRead} from './read-queue.js';

/** Results of reads that were started on this replica. */
export interface ReadResults {
  readonly confirmed: ConfirmedRead[];
  /** Keys of reads that failed. */
  readonly failed: string[];
}

/** Buffers read results until the caller takes them. */
export class ReadResultBuffer {
  private confirmed: ConfirmedRead[] = [];
  private failed: string[] = [];

  addConfirmed(read: ConfirmedRead): void {
    this.confirmed.push(read);
  }

  addFailed(keys: readonly string[]): void {
    this.failed.push(...keys);
  }

  /** Returns the buffered results and clears the buffer. */
  take(): ReadResults {
    const {confirmed, failed} = this;
    this.confirmed = [];
    this.failed = [];
    return {confirmed, failed};
  }
}
