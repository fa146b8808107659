import {randomUUID} from 'node:crypto';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';

interface Read {
  /** Index that must be applied; undefined until a leader confirmed it. */
  index?: number;
  readonly startedAt: number;
  askedAt: number;
  readonly resolve: (result: Result<undefined, Fault>) => void;
}

/** Fresh reads of this replica: each waits for its index, then for it to be applied. */
export class PendingReads {
  private readonly reads = new Map<string, Read>();

  constructor(
    private readonly options: {
      readonly timeoutMs: number;
      /** After this time without an answer a read is asked for again, in milliseconds. */
      readonly retryMs: number;
    },
  ) {}

  /** When `tick` is next to be called; each read needs it within the time of a retry. */
  dueAt(now: number): number {
    return this.reads.size === 0 ? Infinity : now + this.options.retryMs;
  }

  /** Starts a read at time `now`; `ask` sends its key to the leader. */
  add(
    ask: (key: string) => void,
    now: number,
  ): Promise<Result<undefined, Fault>> {
    const key = randomUUID();
    return new Promise(resolve => {
      this.reads.set(key, {startedAt: now, askedAt: now, resolve});
      ask(key);
    });
  }

  /** A majority confirmed that everything up to `index` answers the read. */
  confirm(key: string, index: number): void {
    const read = this.reads.get(key);
    if (read !== undefined) {
      read.index = index;
    }
  }

  /** Ends the reads that everything applied up to `index` answers. */
  resolveApplied(index: number): void {
    for (const [key, read] of this.reads) {
      if (read.index !== undefined && read.index <= index) {
        this.reads.delete(key);
        read.resolve(Result.ok(undefined));
      }
    }
  }

  /** Asks again for unanswered reads, and ends the late ones. */
  tick(ask: (key: string) => void, now: number): void {
    for (const [key, read] of [...this.reads]) {
      if (now - read.startedAt >= this.options.timeoutMs) {
        this.reads.delete(key);
        const reason = 'no majority confirmed the read in time';
        read.resolve(Result.err(new Fault('NO_QUORUM', reason)));
      } else if (
        read.index === undefined &&
        now - read.askedAt >= this.options.retryMs
      ) {
        read.askedAt = now;
        ask(key);
      }
    }
  }

  /** Ends all reads. */
  failAll(fault: Fault): void {
    for (const read of this.reads.values()) {
      read.resolve(Result.err(fault));
    }
    this.reads.clear();
  }
}
