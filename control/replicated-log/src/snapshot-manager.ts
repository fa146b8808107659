import type {Consensus} from '@marigoldspur/consensus';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {LogStorage} from '@marigoldspur/log-storage';

/** Options of a snapshot keeper. */
export interface SnapshotManagerOptions {
  readonly consensus: Consensus;
  readonly storage: LogStorage;
  /** Everything the state machine holds, serialized. */
  readonly serializeState: () => string;
  /** Applied entries after which a snapshot is saved. */
  readonly snapshotEntries: number;
  /** Entries kept after a snapshot for replicas that lag. */
  readonly keptEntries: number;
  readonly events: EventLog;
  /** What is on the disk is unknown: the process must end. */
  readonly onFatal: (thrown: unknown) => void;
}

const RETRY_MS = 5_000;

/** Saves snapshots of the state machine, and gives them to replicas that are too far behind. */
export class SnapshotManager {
  private savedIndex: number;
  private saving = false;
  private retryAt = 0;

  constructor(private readonly options: SnapshotManagerOptions) {
    this.savedIndex = options.consensus.compactedTo.index;
  }

  /** Notes that a snapshot of the leader is on the disk. */
  recordInstalled(index: number): void {
    this.savedIndex = index;
    this.options.events.record('snapshot-installed', {index});
  }

  /** Gives a snapshot where a replica needs one. */
  provideIfNeeded(now: number): void {
    const {consensus, serializeState: content} = this.options;
    if (consensus.needsSnapshot) {
      const place = consensus.snapshotMetadata();
      consensus.provideSnapshot({...place, data: content()}, now);
    }
  }

  /** Saves a snapshot, if enough was applied since the last. */
  saveIfDue(now: number): void {
    const {consensus, snapshotEntries} = this.options;
    const fresh = consensus.appliedIndex - this.savedIndex;
    if (fresh >= snapshotEntries && !this.saving && now >= this.retryAt) {
      this.saving = true;
      void this.save(now).finally(() => {
        this.saving = false;
      });
    }
  }

  private async save(now: number): Promise<void> {
    const {consensus, storage, events, keptEntries} = this.options;
    const place = consensus.snapshotMetadata();
    const data = this.options.serializeState();
    try {
      await storage.saveSnapshot({...place, data});
    } catch (thrown) {
      this.notSaved(thrown, now);
      return;
    }
    const {index} = place;
    const {length} = data;
    this.savedIndex = Math.max(this.savedIndex, index);
    consensus.compact(index - keptEntries, performance.now());
    events.record('snapshot-saved', {index, length});
  }

  private notSaved(thrown: unknown, now: number): void {
    if (thrown instanceof Fault && thrown.code === 'DISK_FULL') {
      this.retryAt = now + RETRY_MS;
    } else {
      this.options.onFatal(thrown);
    }
  }
}
