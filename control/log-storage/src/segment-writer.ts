import type {HardState} from '@marigoldspur/consensus';
import type {AppendFile, FileSystem} from './file-system.js';
import {writeBytesAtomically} from './frame-file.js';
import {encodeFrame} from './frame.js';
import {encodeRecords} from './records.js';
import {closeQuietly, isDiskRefusal, toDiskError} from './disk-errors.js';
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

/**
 * Creates a segment with its header and syncs the file and its folder. Throws `DISK_FULL`
 * or `DISK_FAILED` if the disk refuses it; the same call may then be repeated.
 */
export async function createSegment(
  files: FileSystem,
  {folder, sequence, state, lastIndex}: NewSegmentOptions,
): Promise<SegmentWriter> {
  const file = segmentFile(folder, sequence);
  const header = encodeFrame(
    encodeRecords([{record: 'segment', sequence, state, lastIndex}]),
  );
  let handle: AppendFile | undefined;
  try {
    handle = await files.open(file);
    await handle.truncate(0);
    await handle.append(header);
    await handle.sync();
    await files.syncFolder(folder);
  } catch (thrown) {
    await closeQuietly(handle);
    // A folder sync that failed may have dropped the name, which the next attempt adds again.
    await files.remove(file).catch(() => {});
    throw toDiskError(thrown);
  }
  const segment = {sequence, file, lastIndex: 0};
  return new SegmentWriter(segment, handle, header.length);
}

/**
 * Reopens the last segment of a log and syncs it, which the process may have been killed
 * before. A torn write at its end is truncated, on a disk that refuses it before the next write.
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
  const writer = new SegmentWriter(segment, handle, log.validLength);
  try {
    if (log.tornBytes > 0) {
      await writer.discardPartialWrite();
    }
    await handle.sync();
  } catch (thrown) {
    await closeQuietly(handle);
    throw thrown;
  }
  return writer;
}

/** Replaces a segment by a copy of its valid frames that is synced anew. */
export async function copySegment(
  files: FileSystem,
  {file}: Segment,
  {validLength}: ReplayedLog,
): Promise<void> {
  if (validLength > 0) {
    const bytes = await files.read(file);
    await writeBytesAtomically(files, file, [bytes.subarray(0, validLength)]);
  }
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
   * Appends and syncs. Throws `DISK_FULL` or `DISK_FAILED` if the disk refuses it. The failed
   * write is discarded, since a later sync need not store what a failed one has dropped.
   */
  async append(bytes: Uint8Array): Promise<void> {
    try {
      if (this.hasPartialWrite) {
        await this.handle.truncate(this.syncedBytes);
        this.hasPartialWrite = false;
      }
      await this.handle.append(bytes);
      // File systems that allocate space late report its lack here.
      await this.handle.sync();
    } catch (thrown) {
      this.hasPartialWrite = true;
      throw toDiskError(thrown);
    }
    this.syncedBytes += bytes.length;
  }

  /** Truncates what follows the synced bytes, on a disk that refuses it before the next write. */
  async discardPartialWrite(): Promise<void> {
    this.hasPartialWrite = true;
    try {
      await this.handle.truncate(this.syncedBytes);
      this.hasPartialWrite = false;
    } catch (thrown) {
      if (!isDiskRefusal(toDiskError(thrown))) {
        throw thrown;
      }
    }
  }

  /** Records that the segment holds entries up to an index. */
  recordIndex(index: number): void {
    this.segment.lastIndex = Math.max(this.segment.lastIndex, index);
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}
