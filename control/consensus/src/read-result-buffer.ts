import type {ConfirmedRead} from './read-queue.js';

/** What became of reads that were started here. */
export interface ReadResults {
  readonly confirmed: ConfirmedRead[];
  /** Keys of reads that failed. */
  readonly failed: string[];
}

/** Gathers what became of reads until it is taken. */
export class ReadResultBuffer {
  private confirmed: ConfirmedRead[] = [];
  private failed: string[] = [];

  confirm(read: ConfirmedRead): void {
    this.confirmed.push(read);
  }

  fail(keys: readonly string[]): void {
    this.failed.push(...keys);
  }

  /** Hands over what was gathered. */
  take(): ReadResults {
    const {confirmed, failed} = this;
    this.confirmed = [];
    this.failed = [];
    return {confirmed, failed};
  }
}
