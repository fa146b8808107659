import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';

interface Read {
  /** Index that must be applied first; undefined until the leader has confirmed it. */
  index?: number;
  readonly startedAt: number;
  requestedAt: number;
  readonly resolve: (result: Result<undefined, Fault>) => void;
}

/**
 * Linearizable reads of this replica. Each waits for its read index, then until that
 * index is applied.
 */
export class PendingReads {
  private readonly reads = new Map<string, Read>();

  constructor(
    private readonly options: {
      /** Time after which a read fails, in milliseconds. */
      readonly timeoutMs: number;
      /**
       * Time without an answer after which a read is requested again, in milliseconds.
       */
      readonly retryMs: number;
    },
  ) {}

  /** When `tick` must be called next: within the retry time while any read is pending. */
  dueAt(now: number): number {
    return this.reads.size === 0 ? Infinity : now + this.options.retryMs;
  }

  /** Starts a read at time `now`; `request` sends its key to the leader. */
  add(
    request: (key: string) => void,
    now: number,
  ): Promise<Result<undefined, Fault>> {
    const key = randomUUID();
    return new Promise(resolve => {
      this.reads.set(key, {startedAt: now, requestedAt: now, resolve});
      request(key);
    });
  }

  /** Records the read index that the leader confirmed for a read. */
  confirm(key: string, index: number): void {
    const read = this.reads.get(key);
    if (read !== undefined) {
      read.index = index;
    }
  }

  /** Resolves the reads whose read index is at most `index`, the last applied index. */
  resolveApplied(index: number): void {
    for (const [key, read] of this.reads) {
      if (read.index !== undefined && read.index <= index) {
        this.reads.delete(key);
        read.resolve(Result.ok(undefined));
      }
    }
  }

  /** Requests unanswered reads again and fails those that timed out. */
  tick(request: (key: string) => void, now: number): void {
    for (const [key, read] of [...this.reads]) {
      if (now - read.startedAt >= this.options.timeoutMs) {
        this.reads.delete(key);
        const reason = 'no majority confirmed the read in time';
        read.resolve(Result.err(new Fault('NO_QUORUM', reason)));
      } else if (
        read.index === undefined &&
        now - read.requestedAt >= this.options.retryMs
      ) {
        read.requestedAt = now;
        request(key);
      }
    }
  }

  /** Fails all reads. */
  failAll(fault: Fault): void {
    for (const read of this.reads.values()) {
      read.resolve(Result.err(fault));
    }
    this.reads.clear();
  }
}
