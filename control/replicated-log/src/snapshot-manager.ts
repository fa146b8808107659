import type {Consensus} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import {isDiskRefusal, type LogStorage} from '@marigoldspur/log-storage';

/** Options of a snapshot manager. */
export interface SnapshotManagerOptions {
  readonly consensus: Consensus;
  readonly storage: LogStorage;
  /** Serializes the state machine. */
  readonly serializeState: () => string;
  /** Number of applied entries after which a snapshot is saved. */
  readonly snapshotEntries: number;
  /** Size of the applied entries after which a snapshot is saved, in bytes. */
  readonly snapshotBytes: number;
  /** Number of entries before a snapshot that are kept for lagging replicas. */
  readonly keptEntries: number;
  /** Maximum size of the kept entries together, in bytes. */
  readonly keptBytes: number;
  readonly events: EventLog;
  /** Called if the content of the disk is unknown. The process must exit. */
  readonly onFatal: (thrown: unknown) => void;
}

/** Delay before a snapshot or removal is retried after the disk was full, in milliseconds. */
const RETRY_DELAY_MS = 5_000;

/** Saves snapshots of the state machine and provides them to replicas that need one. */
export class SnapshotManager {
  private savedIndex: number;
  private isSaving = false;
  private isStopped = false;
  /** The latest save or removal. */
  private lastWork: Promise<void> = Promise.resolve();
  private retryAt = 0;

  constructor(private readonly options: SnapshotManagerOptions) {
    this.savedIndex = options.consensus.compactedTo.index;
  }

  /** Records that a snapshot from the leader is installed. */
  recordInstalled(index: number): void {
    this.savedIndex = index;
    this.options.events.record('snapshot-installed', {index});
  }

  /** Provides a snapshot if a replica needs one. */
  provideIfNeeded(now: number): void {
    const {consensus, serializeState} = this.options;
    if (consensus.needsSnapshot) {
      const metadata = consensus.snapshotMetadata();
      consensus.provideSnapshot({...metadata, data: serializeState()}, now);
    }
  }

  /**
   * Saves a snapshot if enough entries were applied since the last one. Removes files that
   * the last one covers first, if that failed before: the new one may need their space.
   */
  saveIfDue(now: number): void {
    if (this.isStopped || this.isSaving || now < this.retryAt) {
      return;
    }
    if (this.options.storage.hasCoveredFiles) {
      this.retryAt = now + RETRY_DELAY_MS;
      this.run(this.removeCoveredFiles(now));
    } else if (this.isDue()) {
      this.run(this.save(now));
    }
  }

  /** Saves nothing more; resolves once what is being saved or removed has ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.lastWork;
  }

  private run(work: Promise<void>): void {
    this.isSaving = true;
    this.lastWork = work.finally(() => (this.isSaving = false));
  }

  private async removeCoveredFiles(now: number): Promise<void> {
    await this.options.storage.removeCoveredFiles();
    if (!this.isStopped && this.isDue()) {
      await this.save(now);
    }
  }

  private isDue(): boolean {
    const {consensus, snapshotBytes, snapshotEntries} = this.options;
    return (
      consensus.appliedIndex - this.savedIndex >= snapshotEntries ||
      consensus.appliedBytesSince(this.savedIndex) >= snapshotBytes
    );
  }

  private async save(now: number): Promise<void> {
    const {consensus, storage, events, keptBytes, keptEntries} = this.options;
    const metadata = consensus.snapshotMetadata();
    const data = this.options.serializeState();
    try {
      await storage.saveSnapshot({...metadata, data});
    } catch (thrown) {
      this.handleSaveError(thrown, now);
      return;
    }
    const {index} = metadata;
    const {length} = data;
    this.savedIndex = Math.max(this.savedIndex, index);
    consensus.compact(
      consensus.compactionIndex(index, keptEntries, keptBytes),
      performance.now(),
    );
    events.record('snapshot-saved', {index, length});
  }

  private handleSaveError(thrown: unknown, now: number): void {
    if (isDiskRefusal(thrown)) {
      this.retryAt = now + RETRY_DELAY_MS;
    } else {
      this.options.onFatal(thrown);
    }
  }
}
