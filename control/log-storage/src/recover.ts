import path from 'node:path';
import type {Entry, HardState, SnapshotMetadata} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';
import {corruptDataError, readFrameFile} from './frame-file.js';
import type {FileSystem} from './file-system.js';
import {decodeFrames} from './frame.js';
import {
  decodeRecords,
  SNAPSHOT_HEADER_SCHEMA,
  type LogRecord,
} from './records.js';

/** A segment file of the log. */
export interface Segment {
  readonly sequence: number;
  readonly file: string;
  /** The largest index in the segment; 0 if it holds no entries. */
  lastIndex: number;
}

/** The content of a snapshot file. */
export interface StoredSnapshot extends SnapshotMetadata {
  readonly file: string;
  readonly data: string;
}

/** The content of all segments. */
export interface ReplayedLog {
  state: HardState;
  entries: Entry[];
  /** The segments; those before a missing one count as empty and may be removed. */
  readonly segments: Segment[];
  /** Length of the valid frames in the last segment, in bytes. */
  validLength: number;
  /** Length of a torn write after the valid frames, in bytes. */
  tornBytes: number;
  /** Index of the last entry. */
  lastIndex: number;
  /** Whether the segments hold entries that the snapshot has replaced. */
  isSupersededBySnapshot: boolean;
}

const SEGMENT_PATTERN = /^log-(\d{12})$/;
const SNAPSHOT_PATTERN = /^snapshot-(\d{16})$/;

/** Path of a segment file. */
export function segmentFile(folder: string, sequence: number): string {
  return path.join(folder, `log-${String(sequence).padStart(12, '0')}`);
}

/** Path of the file of a snapshot that ends at an index. */
export function snapshotFile(folder: string, index: number): string {
  return path.join(folder, `snapshot-${String(index).padStart(16, '0')}`);
}

/** Names of the snapshot files, oldest first. */
export function snapshotNames(names: readonly string[]): string[] {
  return names.filter(name => SNAPSHOT_PATTERN.test(name)).sort();
}

/** Reads the newest snapshot. */
export async function readSnapshot(
  files: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<StoredSnapshot | undefined> {
  const newest = snapshotNames(names).at(-1);
  if (newest === undefined) {
    return undefined;
  }
  const file = path.join(folder, newest);
  const [header, data] = await readFrameFile(files, file, 2);
  const text = Buffer.from(header).toString('utf8');
  const metadata = SNAPSHOT_HEADER_SCHEMA.parse(JSON.parse(text));
  return {...metadata, file, data: Buffer.from(data).toString('utf8')};
}

/**
 * Replays the segments after a snapshot. A torn write at the end of the last segment is
 * ignored, as are segments before a missing one if the snapshot covers them: a power loss
 * may undo some removals of covered segments and not others. Throws `CORRUPT_DATA` on any
 * other damage, a missing segment or a gap.
 */
export async function replaySegments(
  files: FileSystem,
  folder: string,
  names: readonly string[],
  snapshot: SnapshotMetadata | undefined,
): Promise<ReplayedLog> {
  const sequences = names
    .map(name => SEGMENT_PATTERN.exec(name))
    .filter(match => match !== null)
    .map(match => Number(match[1]))
    .sort((a, b) => a - b);
  const first = sequences.findLastIndex(
    (sequence, position) => sequence !== sequences[position - 1] + 1,
  );
  const replay = new Replay(snapshot);
  for (const sequence of sequences.slice(first)) {
    const file = segmentFile(folder, sequence);
    const bytes = await files.read(file);
    replay.readSegment(file, sequence, bytes, sequence === sequences.at(-1));
  }
  const leftovers = sequences.slice(0, Math.max(first, 0)).map(sequence => ({
    sequence,
    file: segmentFile(folder, sequence),
    lastIndex: 0,
  }));
  const log = replay.finish(folder);
  return {...log, segments: [...leftovers, ...log.segments]};
}

/** Replays segments in order and checks that the log is complete. */
class Replay {
  private readonly log: ReplayedLog = {
    state: {group: '', term: 0, vote: ''},
    entries: [],
    segments: [],
    validLength: 0,
    tornBytes: 0,
    lastIndex: 0,
    isSupersededBySnapshot: false,
  };

  constructor(private readonly snapshot: SnapshotMetadata | undefined) {}

  readSegment(
    file: string,
    sequence: number,
    bytes: Uint8Array,
    isLast: boolean,
  ): void {
    const {payloads, validLength, hasInteriorDamage} = decodeFrames(bytes);
    const isTorn = validLength < bytes.length || payloads.length === 0;
    const isFirst = this.log.segments.length === 0;
    const hasHeader = payloads.length > 0;
    if (hasInteriorDamage || (isTorn && !isLast) || (!hasHeader && isFirst)) {
      throw corruptDataError(file, `is damaged at byte ${validLength}`);
    }
    const segment = {sequence, file, lastIndex: 0};
    for (const payload of payloads) {
      for (const record of parseRecords(file, payload)) {
        this.apply(segment, record);
      }
    }
    this.log.segments.push(segment);
    this.log.validLength = validLength;
    this.log.tornBytes = bytes.length - validLength;
  }

  finish(folder: string): ReplayedLog {
    const {log, snapshot} = this;
    const snapshotIndex = snapshot?.index ?? 0;
    log.isSupersededBySnapshot = this.isSupersededAt(snapshotIndex);
    log.entries = log.isSupersededBySnapshot
      ? []
      : log.entries.filter(entry => entry.index > snapshotIndex);
    log.lastIndex = log.entries.at(-1)?.index ?? snapshotIndex;
    const first = log.entries.at(0)?.index;
    if (first !== undefined && first !== snapshotIndex + 1) {
      throw corruptDataError(folder, `lacks the entries before index ${first}`);
    }
    return log;
  }

  /**
   * Whether the replayed entries should have been dropped when the snapshot was
   * installed.
   */
  private isSupersededAt(snapshotIndex: number): boolean {
    const {entries} = this.log;
    const last = entries.at(-1);
    const atSnapshot = entries.find(entry => entry.index === snapshotIndex);
    return (
      (last !== undefined && last.index < snapshotIndex) ||
      (atSnapshot !== undefined && atSnapshot.term !== this.snapshot?.term)
    );
  }

  private apply(segment: Segment, record: LogRecord): void {
    switch (record.record) {
      case 'segment':
        if (record.sequence !== segment.sequence) {
          throw corruptDataError(
            segment.file,
            'has the header of another segment',
          );
        }
        this.checkEarlierEntries(segment, record.lastIndex);
        this.log.state = record.state;
        return;
      case 'state':
        this.log.state = record.state;
        return;
      case 'reset':
        this.log.entries = [];
        return;
      case 'entries':
        this.truncateAndAppend(segment, record.entries);
    }
  }

  /** Checks that the entries before a segment are present. */
  private checkEarlierEntries(segment: Segment, lastIndex: number): void {
    const snapshotIndex = this.snapshot?.index ?? 0;
    const replayedIndex = this.log.entries.at(-1)?.index ?? 0;
    if (lastIndex > Math.max(snapshotIndex, replayedIndex)) {
      throw corruptDataError(
        segment.file,
        `lacks the entries up to index ${lastIndex}`,
      );
    }
  }

  private truncateAndAppend(segment: Segment, entries: readonly Entry[]): void {
    const {log} = this;
    for (const entry of entries) {
      const offset = entry.index - (log.entries.at(0)?.index ?? entry.index);
      if (offset > log.entries.length) {
        throw corruptDataError(
          segment.file,
          `lacks the entries before index ${entry.index}`,
        );
      }
      log.entries.length = Math.max(0, offset);
      log.entries.push(entry);
      segment.lastIndex = Math.max(segment.lastIndex, entry.index);
    }
  }
}

function parseRecords(file: string, payload: Uint8Array): LogRecord[] {
  try {
    return decodeRecords(payload);
  } catch (thrown) {
    // The checksum of the frame is right: another version of the program wrote the record.
    const reason = `contains a malformed record: ${String(thrown)}`;
    throw new Fault('INTERNAL', `${path.basename(file)} ${reason}`);
  }
}
