import path from 'node:path';
import type {
  HardState,
  LogOperation,
  LogPosition,
  Snapshot,
} from '@marigoldspur/consensus';
import {writeFileAtomically} from './frame-file.js';
import type {FileSystem} from './file-system.js';
import {encodeFrame} from './frame.js';
import {closeQuietly, toDiskError} from './disk-errors.js';
import {createSegment, type SegmentWriter} from './segment-writer.js';
import {encodeRecords, type LogRecord} from './records.js';
import {snapshotFile, snapshotNames, type Segment} from './recover.js';

/** Options of log storage. */
export interface LogStorageOptions {
  readonly folder: string;
  readonly files?: FileSystem;
  /** Segment size from which a new segment is started, in bytes. */
  readonly segmentBytes?: number;
  /** Called with the error if files that are not needed any more could not be removed. */
  readonly onRemovalFailure?: (thrown: unknown) => void;
  /**
   * Whether an earlier opening failed on a disk that refused an operation. The last segment is
   * then copied: another sync need not store what a failed one has dropped.
   */
  readonly isSyncInDoubt?: boolean;
}

const DEFAULT_SEGMENT_BYTES = 4_194_304;

/** Durable storage of one replica: log segments, snapshot and replica ID. */
export class LogStorage {
  /** Index up to which a snapshot covers files that could not be removed yet. */
  private unremovedIndex: number | undefined;
  /** The latest removal of covered files; removals run one after another. */
  private lastRemoval: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: LogStorageOptions,
    private readonly files: FileSystem,
    private state: HardState,
    private lastIndex: number,
    private readonly closedSegments: Segment[],
    private currentSegment: SegmentWriter,
  ) {}

  /**
   * Writes operations durably, with one sync of the log. Throws `DISK_FULL` or `DISK_FAILED`
   * if the disk refuses them: the operations are not recorded and the call may be retried.
   * After any other error the content of the disk is unknown and the process must exit.
   */
  async save(operations: readonly LogOperation[]): Promise<void> {
    if (operations.length === 0) {
      return;
    }
    for (const operation of operations) {
      if (operation.operation === 'install') {
        await this.writeSnapshot(operation.snapshot);
      }
    }
    await this.startSegmentIfFull();
    await this.currentSegment.append(
      encodeFrame(encodeRecords(operations.map(toRecord))),
    );
    for (const operation of operations) {
      await this.recordOperation(operation);
    }
  }

  /**
   * Drops the entries that a snapshot replaced, if a crash interrupted its
   * installation.
   */
  async reset(position: LogPosition): Promise<void> {
    const {index, term} = position;
    await this.currentSegment.append(
      encodeFrame(encodeRecords([{record: 'reset', index, term}])),
    );
    this.lastIndex = index;
  }

  /**
   * Writes a snapshot, then removes older snapshots and the segments that it covers.
   * Throws the same errors as `save`.
   */
  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    await this.writeSnapshot(snapshot);
    await this.removeCovered(snapshot.index);
  }

  /** Whether there are files that a snapshot covers and that could not be removed. */
  get hasCoveredFiles(): boolean {
    return this.unremovedIndex !== undefined;
  }

  /** Removes the files that a snapshot covers and that could not be removed before. */
  async removeCoveredFiles(): Promise<void> {
    if (this.unremovedIndex !== undefined) {
      await this.removeCovered(this.unremovedIndex);
    }
  }

  /** Closes the current segment file. */
  async close(): Promise<void> {
    await this.currentSegment.close();
  }

  private async recordOperation(operation: LogOperation): Promise<void> {
    switch (operation.operation) {
      case 'state':
        this.state = operation.state;
        return;
      case 'entries':
        this.lastIndex = operation.entries.at(-1)!.index;
        this.currentSegment.recordIndex(this.lastIndex);
        return;
      case 'install':
        this.lastIndex = operation.snapshot.index;
        await this.removeCovered(operation.snapshot.index);
    }
  }

  private async writeSnapshot(snapshot: Snapshot): Promise<void> {
    const {index, term, configuration, data} = snapshot;
    const header = JSON.stringify({index, term, configuration});
    const file = snapshotFile(this.options.folder, index);
    try {
      const payloads = [Buffer.from(header), Buffer.from(data)];
      await writeFileAtomically(this.files, file, payloads);
    } catch (thrown) {
      throw toDiskError(thrown);
    }
  }

  /** Removes covered files. Those that can't be removed do no harm and are removed later. */
  private removeCovered(index: number): Promise<void> {
    this.lastRemoval = this.lastRemoval.then(async () => {
      try {
        await this.removeUpTo(index);
        this.unremovedIndex = undefined;
      } catch (thrown) {
        this.unremovedIndex = index;
        this.options.onRemovalFailure?.(thrown);
      }
    });
    return this.lastRemoval;
  }

  private async removeUpTo(index: number): Promise<void> {
    const {folder} = this.options;
    const newest = path.basename(snapshotFile(folder, index));
    const names = await this.files.list(folder);
    const older = snapshotNames(names).filter(name => name < newest);
    for (const name of older) {
      await this.files.remove(path.join(folder, name));
    }
    while (
      this.closedSegments.length > 0 &&
      this.closedSegments[0].lastIndex <= index
    ) {
      const {file} = this.closedSegments[0];
      // A removal that failed may have taken effect.
      if (names.includes(path.basename(file))) {
        await this.files.remove(file);
      }
      this.closedSegments.shift();
    }
    await this.files.syncFolder(folder);
  }

  private async startSegmentIfFull(): Promise<void> {
    const limit = this.options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    if (!this.currentSegment.isFull(limit)) {
      return;
    }
    const previous = this.currentSegment;
    const {folder} = this.options;
    const sequence = previous.segment.sequence + 1;
    const {state, lastIndex} = this;
    const start = {folder, sequence, state, lastIndex};
    this.currentSegment = await createSegment(this.files, start);
    this.closedSegments.push(previous.segment);
    await closeQuietly(previous);
  }
}

function toRecord(operation: LogOperation): LogRecord {
  switch (operation.operation) {
    case 'state':
      return {record: 'state', state: operation.state};
    case 'entries':
      return {record: 'entries', entries: [...operation.entries]};
    case 'install': {
      const {index, term} = operation.snapshot;
      return {record: 'reset', index, term};
    }
  }
}
