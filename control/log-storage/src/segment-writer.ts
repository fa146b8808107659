import {Fault} from '@marigoldspur/faults';
import type {HardState} from '@marigoldspur/consensus';
import type {AppendFile, FileSystem} from './file-system.js';
import {encodeFrame} from './frame.js';
import {encodeRecords} from './records.js';
import {segmentFile, type ReplayedLog, type Segment} from './recover.js';

/** Options of a new segment. */
export interface NewSegmentOptions {
  readonly folder: string;
  readonly sequence: number;
  /** Hard state at the start of the segment. */
  readonly state: HardState;
  /** Index of the last entry before the segment. */
  readonly lastIndex: number;
}

/** Creates a segment with its header and syncs the file and its folder. */
export async function createSegment(
  files: FileSystem,
  {folder, sequence, state, lastIndex}: NewSegmentOptions,
): Promise<SegmentWriter> {
  const file = segmentFile(folder, sequence);
  const handle = await files.open(file);
  const header = encodeFrame(
    encodeRecords([{record: 'segment', sequence, state, lastIndex}]),
  );
  try {
    await handle.truncate(0);
    await handle.append(header);
  } catch (thrown) {
    await handle.close();
    throw thrown;
  }
  await handle.sync();
  await files.syncFolder(folder);
  const segment = {sequence, file, lastIndex: 0};
  return new SegmentWriter(segment, handle, header.length);
}

/**
 * Reopens the last segment of a log, truncates a torn write at its end and syncs the rest,
 * which the process may have been killed before syncing.
 */
export async function reopenSegment(
  files: FileSystem,
  folder: string,
  segment: Segment,
  log: ReplayedLog,
): Promise<SegmentWriter> {
  if (log.validLength === 0) {
    const {state, lastIndex} = log;
    const {sequence} = segment;
    return createSegment(files, {folder, sequence, state, lastIndex});
  }
  const handle = await files.open(segment.file);
  if (log.tornBytes > 0) {
    await handle.truncate(log.validLength);
  }
  await handle.sync();
  return new SegmentWriter(segment, handle, log.validLength);
}

/** Appends to a segment. */
export class SegmentWriter {
  /** Whether the file may end with a partial write that failed. */
  private hasPartialWrite = false;

  constructor(
    readonly segment: Segment,
    private readonly handle: AppendFile,
    private syncedBytes: number,
  ) {}

  /** Whether the next write should go to a new segment. */
  isFull(limitBytes: number): boolean {
    return this.syncedBytes >= limitBytes && !this.hasPartialWrite;
  }

  /**
   * Appends and syncs. Throws `DISK_FULL` if there is no space; the failed write is
   * discarded.
   */
  async append(bytes: Uint8Array): Promise<void> {
    try {
      if (this.hasPartialWrite) {
        await this.handle.truncate(this.syncedBytes);
        this.hasPartialWrite = false;
      }
      await this.handle.append(bytes);
    } catch (thrown) {
      this.hasPartialWrite = true;
      throw toDiskError(thrown);
    }
    await this.handle.sync();
    this.syncedBytes += bytes.length;
  }

  /** Records that the segment holds entries up to an index. */
  recordIndex(index: number): void {
    this.segment.lastIndex = Math.max(this.segment.lastIndex, index);
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}

/**
 * Converts a system error for lack of disk space to `DISK_FULL`; returns other errors
 * unchanged.
 */
export function toDiskError(thrown: unknown): unknown {
  const code = (thrown as {code?: unknown} | undefined)?.code;
  return code === 'ENOSPC' || code === 'EDQUOT'
    ? new Fault('DISK_FULL', 'the disk is full', {cause: thrown})
    : thrown;
}
