import {Fault} from '@marigoldspur/faults';
import type {HardState} from '@marigoldspur/consensus';
import type {AppendFile, FileSystem} from './file-system.js';
import {frame} from './frame.js';
import {encodeRecords} from './records.js';
import {segmentFile, type ReplayedLog, type Segment} from './recover.js';

/** What a new segment continues. */
export interface SegmentStart {
  readonly folder: string;
  readonly sequence: number;
  readonly state: HardState;
  readonly lastIndex: number;
}

/** Begins a segment, synced together with its folder. */
export async function beginSegment(
  files: FileSystem,
  {folder, sequence, state, lastIndex}: SegmentStart,
): Promise<OpenSegment> {
  const file = segmentFile(folder, sequence);
  const handle = await files.open(file);
  const header = frame(
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
  return new OpenSegment(segment, handle, header.length);
}

/** Opens the last segment of a log again, without its torn tail. */
export async function reopenSegment(
  files: FileSystem,
  folder: string,
  segment: Segment,
  log: ReplayedLog,
): Promise<OpenSegment> {
  if (log.goodLength === 0) {
    const {state, lastIndex} = log;
    const {sequence} = segment;
    return beginSegment(files, {folder, sequence, state, lastIndex});
  }
  const handle = await files.open(segment.file);
  if (log.tornBytes > 0) {
    await handle.truncate(log.goodLength);
    await handle.sync();
  }
  return new OpenSegment(segment, handle, log.goodLength);
}

/** A segment that is written to. */
export class OpenSegment {
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
      throw diskFault(thrown);
    }
    await this.handle.sync();
    this.syncedBytes += bytes.length;
  }

  /** Notes that entries up to an index are in the segment. */
  noteIndex(index: number): void {
    this.segment.lastIndex = Math.max(this.segment.lastIndex, index);
  }

  async close(): Promise<void> {
    await this.handle.close();
  }
}

/** `DISK_FULL` in place of the system's error where there is no room. */
export function diskFault(thrown: unknown): unknown {
  const code = (thrown as {code?: unknown} | undefined)?.code;
  return code === 'ENOSPC' || code === 'EDQUOT'
    ? new Fault('DISK_FULL', 'the disk is full', {cause: thrown})
    : thrown;
}
