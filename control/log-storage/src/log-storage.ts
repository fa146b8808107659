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
import {
  createSegment,
  toDiskError,
  type SegmentWriter,
} from './segment-writer.js';
import {encodeRecords, type LogRecord} from './records.js';
import {snapshotFile, snapshotNames, type Segment} from './recover.js';

/** Options of the storage of a log. */
export interface LogStorageOptions {
  readonly folder: string;
  readonly files?: FileSystem;
  /** Size from which a new segment is begun, in bytes. */
  readonly segmentBytes?: number;
}

const DEFAULT_SEGMENT_BYTES = 4_194_304;

/** The synced files of one replica: segments of the log, a snapshot, its identity. */
export class LogStorage {
  /** Removals run one after the other. */
  private removal: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: LogStorageOptions,
    private readonly files: FileSystem,
    private state: HardState,
    private lastIndex: number,
    private readonly closed: Segment[],
    private current: SegmentWriter,
  ) {}

  /**
   * Makes operations durable, with one synced write. Throws `DISK_FULL` where
   * there is no room: nothing was kept, and the same call may be made again. Any
   * other error leaves the disk's content unknown: the process must end.
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
    await this.roll();
    await this.current.append(
      encodeFrame(encodeRecords(operations.map(recordOf))),
    );
    for (const operation of operations) {
      await this.note(operation);
    }
  }

  /** Drops the log up to a snapshot that was taken over before a crash. */
  async reset(place: LogPosition): Promise<void> {
    const {index, term} = place;
    await this.current.append(
      encodeFrame(encodeRecords([{record: 'reset', index, term}])),
    );
    this.lastIndex = index;
  }

  /**
   * Writes a snapshot, then removes the older ones and the segments that it
   * covers. Throws as `save` does.
   */
  async saveSnapshot(snapshot: Snapshot): Promise<void> {
    await this.writeSnapshot(snapshot);
    await this.removeCovered(snapshot.index);
  }

  async close(): Promise<void> {
    await this.current.close();
  }

  private async note(operation: LogOperation): Promise<void> {
    switch (operation.operation) {
      case 'state':
        this.state = operation.state;
        return;
      case 'entries':
        this.lastIndex = operation.entries.at(-1)!.index;
        this.current.recordIndex(this.lastIndex);
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

  private removeCovered(index: number): Promise<void> {
    const removed = this.removal.then(() => this.removeUpTo(index));
    this.removal = removed.catch(() => {});
    return removed;
  }

  private async removeUpTo(index: number): Promise<void> {
    const {folder} = this.options;
    const kept = path.basename(snapshotFile(folder, index));
    const names = snapshotNames(await this.files.list(folder));
    for (const name of names.filter(candidate => candidate < kept)) {
      await this.files.remove(path.join(folder, name));
    }
    while (this.closed.length > 0 && this.closed[0].lastIndex <= index) {
      await this.files.remove(this.closed[0].file);
      this.closed.shift();
    }
    await this.files.syncFolder(folder);
  }

  private async roll(): Promise<void> {
    const limit = this.options.segmentBytes ?? DEFAULT_SEGMENT_BYTES;
    if (!this.current.isFull(limit)) {
      return;
    }
    const previous = this.current;
    const {folder} = this.options;
    const sequence = previous.segment.sequence + 1;
    const {state, lastIndex} = this;
    try {
      const start = {folder, sequence, state, lastIndex};
      this.current = await createSegment(this.files, start);
    } catch (thrown) {
      throw toDiskError(thrown);
    }
    this.closed.push(previous.segment);
    await previous.close();
  }
}

function recordOf(operation: LogOperation): LogRecord {
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
