import {setTimeout as delay} from 'node:timers/promises';
import type {WriteBatch, Consensus} from '@marigoldspur/consensus';
import type {Fault} from '@marigoldspur/faults';
import {isDiskRefusal, type LogStorage} from '@marigoldspur/log-storage';

/** Options of a batch writer. */
export interface BatchWriterOptions {
  readonly consensus: Consensus;
  readonly storage: LogStorage;
  /** Called when a batch is durable. */
  readonly onSynced: (batch: WriteBatch) => void;
  /** Called when the disk begins to refuse writes, refuses them for another reason, or accepts them again. */
  readonly onDiskChange: (refusal: Fault | undefined) => void;
  /** Called if the content of the disk is unknown. The process must exit. */
  readonly onFatal: (thrown: unknown) => void;
}

/** Delay before an operation that the disk refused is retried, in milliseconds. */
export const DISK_RETRY_MS = 250;

/**
 * Writes batches to storage one at a time. Operations that arrive during a sync are
 * combined into the next batch, so that one sync covers many operations.
 */
export class BatchWriter {
  private isRunning = false;
  private refusal: Fault | undefined;
  private isStopped = false;
  private flushWaiters: Array<() => void> = [];
  private runFinished: Promise<void> = Promise.resolve();

  constructor(private readonly options: BatchWriterOptions) {}

  /** Why the disk refuses writes at present. */
  get diskRefusal(): Fault | undefined {
    return this.refusal;
  }

  /** Starts writing if there are pending operations or flushes. */
  start(): void {
    const hasWork =
      this.flushWaiters.length > 0 || this.options.consensus.hasBatch;
    if (hasWork && !this.isRunning && !this.isStopped) {
      this.isRunning = true;
      this.runFinished = this.run();
    }
  }

  /** Resolves once all operations queued before the call are durable. */
  flush(): Promise<void> {
    return new Promise(resolve => {
      this.flushWaiters.push(resolve);
      this.start();
    });
  }

  /** Like `flush`, but resolves after at most `waitMs` milliseconds. */
  flushWithin(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs);
      void this.flush().then(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Stops after the current batch; a batch that waits for the disk is abandoned. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.runFinished;
  }

  private async run(): Promise<void> {
    try {
      await this.writeAll();
    } catch (thrown) {
      this.isStopped = true;
      this.options.onFatal(thrown);
    } finally {
      this.isRunning = false;
      this.start();
    }
  }

  private async writeAll(): Promise<void> {
    for (;;) {
      const waiters = this.flushWaiters;
      this.flushWaiters = [];
      const batch = this.options.consensus.takeBatch();
      if (batch === undefined) {
        waiters.forEach(resolve => resolve());
        return;
      }
      const isWritten = await this.write(batch);
      if (!isWritten) {
        return;
      }
      this.options.consensus.markSynced(batch);
      this.options.onSynced(batch);
      waiters.forEach(resolve => resolve());
    }
  }

  /**
   * Writes a batch and retries while the disk refuses it; false if the writer was stopped.
   */
  private async write(batch: WriteBatch): Promise<boolean> {
    for (;;) {
      try {
        await this.options.storage.save(batch.operations);
        this.setRefusal(undefined);
        return true;
      } catch (thrown) {
        if (!isDiskRefusal(thrown)) {
          throw thrown;
        }
        this.setRefusal(thrown);
      }
      if (this.isStopped) {
        return false;
      }
      await delay(DISK_RETRY_MS);
    }
  }

  private setRefusal(refusal: Fault | undefined): void {
    const hasChanged = refusal?.code !== this.refusal?.code;
    this.refusal = refusal;
    if (hasChanged) {
      this.options.onDiskChange(refusal);
    }
  }
}
