import {setTimeout as delay} from 'node:timers/promises';
import type {WriteBatch, Consensus} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';
import type {LogStorage} from '@marigoldspur/log-storage';

/** Options of a batch writer. */
export interface BatchWriterOptions {
  readonly consensus: Consensus;
  readonly storage: LogStorage;
  /** A batch is durable. */
  readonly onSynced: (batch: WriteBatch) => void;
  /** The disk has run full, or has room again. */
  readonly onDiskFull: (full: boolean) => void;
  /** What is on the disk is unknown: the process must end. */
  readonly onFatal: (thrown: unknown) => void;
}

const ROOM_CHECK_MS = 250;

/**
 * Makes batches durable one after the other. What is proposed while one is
 * synced goes into the next: one sync for many.
 */
export class BatchWriter {
  private running = false;
  private full = false;
  private stopped = false;
  private waiters: Array<() => void> = [];
  private idle: Promise<void> = Promise.resolve();

  constructor(private readonly options: BatchWriterOptions) {}

  /** Whether the disk is full. */
  get isDiskFull(): boolean {
    return this.full;
  }

  /** Starts writing what waits. */
  start(): void {
    const hasWork = this.waiters.length > 0 || this.options.consensus.hasBatch;
    if (hasWork && !this.running && !this.stopped) {
      this.running = true;
      this.idle = this.run();
    }
  }

  /** Resolves once everything decided before the call is durable. */
  flush(): Promise<void> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      this.start();
    });
  }

  /** As `flushed`, but waits at most a time, in milliseconds. */
  flushWithin(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      void this.flush().then(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Ends after the batch in work; a batch that waits for room is given up. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.idle;
  }

  private async run(): Promise<void> {
    try {
      await this.writeAll();
    } catch (thrown) {
      this.stopped = true;
      this.options.onFatal(thrown);
    } finally {
      this.running = false;
      this.start();
    }
  }

  private async writeAll(): Promise<void> {
    for (;;) {
      const waiters = this.waiters;
      this.waiters = [];
      const batch = this.options.consensus.takeBatch();
      if (batch === undefined) {
        waiters.forEach(resolve => resolve());
        return;
      }
      const written = await this.write(batch);
      if (!written) {
        return;
      }
      this.options.consensus.markSynced(batch);
      this.options.onSynced(batch);
      waiters.forEach(resolve => resolve());
    }
  }

  /** False where the writer was stopped before there was room. */
  private async write(batch: WriteBatch): Promise<boolean> {
    for (;;) {
      try {
        await this.options.storage.save(batch.operations);
        this.noteDisk(false);
        return true;
      } catch (thrown) {
        if (!(thrown instanceof Fault) || thrown.code !== 'DISK_FULL') {
          throw thrown;
        }
        this.noteDisk(true);
      }
      if (this.stopped) {
        return false;
      }
      await delay(ROOM_CHECK_MS);
    }
  }

  private noteDisk(full: boolean): void {
    if (full !== this.full) {
      this.full = full;
      this.options.onDiskFull(full);
    }
  }
}
