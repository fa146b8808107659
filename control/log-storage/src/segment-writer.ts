import {Fault} from '@marigoldspur/faults';
import type {HardState} from '@marigoldspur/consensus';
import type {AppendFile, FileSystem} from './file-system.js';
import {encodeFrame} from './frame.js';
import {encodeRecords} from './records.js';
import {segmentFile, type ReplayedLog, type Segment} from './recover.js';

/** What a new segment continues. */
export interface NewSegmentOptions {
  readonly folder: string;
  readonly sequence: number;
  readonly state: HardState;
  readonly lastIndex: number;
}

/** Begins a segment, synced together with its folder. */
export async function createSegment(
  files: FileSystem,
  {folder, sequence, state, lastIndex}: NewSegmentOptions,
): Promise<SegmentWriter> {
  const file = segmentFile(folder, sequence);
  const handle = await files.open(file);
  const header = encodeFrame(
    encodeRecords([{record: 'segment', sequence, state, lastIndex}]),
  );
  await handle.truncate(0);
  try {
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

/** Opens the last segment of a log again, without its torn tail. */
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
    await handle.sync();
  }
  return new SegmentWriter(segment, handle, log.validLength);
}

/** A segment that is written to. */
export class SegmentWriter {
  /** The file ends with a write that failed. */
  private hasRest = false;

  constructor(
    readonly segment: Segment,
    private readonly handle: AppendFile,
    private syncedBytes: number,
  ) {}

  /** Whether the next write belongs into a new segment. */
  isFull(limitBytes: number): boolean {
    return this.syncedBytes >= limitBytes && !this.hasRest;
  }

  /** Appends and syncs; throws `DISK_FULL` where there is no room and nothing was kept. */
  async append(bytes: Uint8Array): Promise<void> {
    if (this.hasRest) {
      await this.handle.truncate(this.syncedBytes);
      this.hasRest = false;
    }
    try {
      await this.handle.append(bytes);
    } catch (thrown) {
      this.hasRest = true;
      throw toDiskError(thrown);
    }
    await this.handle.sync();
    this.syncedBytes += bytes.length;
  }

  /** Notes that entries up to an index are in the segment. */
  recordIndex(index: number): void {
    this.segment.lastIndex = Math.max(this.segment.lastIndex, index);
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}

/** `DISK_FULL` in place of the system's error where there is no room. */
export function toDiskError(thrown: unknown): unknown {
  const code = (thrown as {code?: unknown} | undefined)?.code;
  return code === 'ENOSPC' || code === 'EDQUOT'
    ? new Fault('DISK_FULL', 'the disk is full', {cause: thrown})
    : thrown;
}
