import path from 'node:path';
import type {Entry, HardState, SnapshotMetadata} from '@marigoldspur/consensus';
import {corruptDataError, readFrameFile} from './frame-file.js';
import type {FileSystem} from './file-system.js';
import {decodeFrames} from './frame.js';
import {
  decodeRecords,
  SNAPSHOT_HEADER_SCHEMA,
  type LogRecord,
} from './records.js';

/** A segment file that was read. */
export interface Segment {
  readonly sequence: number;
  readonly file: string;
  /** The largest index that the segment holds; 0 for none. */
  lastIndex: number;
}

/** A snapshot file with what it holds. */
export interface StoredSnapshot extends SnapshotMetadata {
  readonly file: string;
  readonly data: string;
}

/** What the segments hold. */
export interface ReplayedLog {
  state: HardState;
  entries: Entry[];
  readonly segments: Segment[];
  /** Length of the whole frames of the last segment, in bytes. */
  validLength: number;
  /** Bytes after them, which a cut write left. */
  tornBytes: number;
  /** Index of the last entry. */
  lastIndex: number;
  /** Whether entries stand in the segments that the snapshot overrules. */
  isSupersededBySnapshot: boolean;
}

const SEGMENT_PATTERN = /^log-(\d{12})$/;
const SNAPSHOT_PATTERN = /^snapshot-(\d{16})$/;

/** File of a segment. */
export function segmentFile(folder: string, sequence: number): string {
  return path.join(folder, `log-${String(sequence).padStart(12, '0')}`);
}

/** File of a snapshot that ends at an index. */
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
  const place = SNAPSHOT_HEADER_SCHEMA.parse(JSON.parse(text));
  return {...place, file, data: Buffer.from(data).toString('utf8')};
}

/**
 * Replays the segments after a snapshot. The end of the last one may be torn;
 * damage anywhere else, a missing segment or a gap is `CORRUPT_DATA`.
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
  const replay = new Replay(snapshot);
  for (const [at, sequence] of sequences.entries()) {
    const file = segmentFile(folder, sequence);
    if (sequence !== sequences[0] + at) {
      throw corruptDataError(file, 'has no predecessor');
    }
    const bytes = await files.read(file);
    replay.take(file, sequence, bytes, at === sequences.length - 1);
  }
  return replay.finish(folder);
}

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

  take(file: string, sequence: number, bytes: Uint8Array, last: boolean): void {
    const {
      payloads,
      validLength: goodLength,
      hasInteriorDamage: damagedInside,
    } = decodeFrames(bytes);
    const torn = goodLength < bytes.length || payloads.length === 0;
    const isAlone = this.log.segments.length === 0;
    const hasHeader = payloads.length > 0;
    if (damagedInside || (torn && !last) || (!hasHeader && isAlone)) {
      throw corruptDataError(file, `is damaged at byte ${goodLength}`);
    }
    const segment = {sequence, file, lastIndex: 0};
    for (const payload of payloads) {
      for (const record of parse(file, payload)) {
        this.apply(segment, record);
      }
    }
    this.log.segments.push(segment);
    this.log.validLength = goodLength;
    this.log.tornBytes = bytes.length - goodLength;
  }

  finish(folder: string): ReplayedLog {
    const {log, snapshot} = this;
    const base = snapshot?.index ?? 0;
    log.isSupersededBySnapshot = this.overrules(base);
    log.entries = log.isSupersededBySnapshot
      ? []
      : log.entries.filter(entry => entry.index > base);
    log.lastIndex = log.entries.at(-1)?.index ?? base;
    const first = log.entries.at(0)?.index;
    if (first !== undefined && first !== base + 1) {
      throw corruptDataError(folder, `lacks the entries before ${first}`);
    }
    return log;
  }

  /** Whether the entries were to be dropped when a snapshot was taken over. */
  private overrules(base: number): boolean {
    const {entries} = this.log;
    const last = entries.at(-1);
    const atBase = entries.find(entry => entry.index === base);
    return (
      (last !== undefined && last.index < base) ||
      (atBase !== undefined && atBase.term !== this.snapshot?.term)
    );
  }

  private apply(segment: Segment, record: LogRecord): void {
    switch (record.record) {
      case 'segment':
        if (record.sequence !== segment.sequence) {
          throw corruptDataError(segment.file, 'belongs elsewhere');
        }
        this.checkPredecessor(segment, record.lastIndex);
        this.log.state = record.state;
        return;
      case 'state':
        this.log.state = record.state;
        return;
      case 'reset':
        this.log.entries = [];
        return;
      case 'entries':
        this.putEntries(segment, record.entries);
    }
  }

  private checkPredecessor(segment: Segment, lastIndex: number): void {
    const base = this.snapshot?.index ?? 0;
    const held = this.log.entries.at(-1)?.index ?? 0;
    if (lastIndex > Math.max(base, held)) {
      throw corruptDataError(
        segment.file,
        `lacks the entries up to ${lastIndex}`,
      );
    }
  }

  private putEntries(segment: Segment, entries: readonly Entry[]): void {
    const {log} = this;
    for (const entry of entries) {
      const offset = entry.index - (log.entries.at(0)?.index ?? entry.index);
      if (offset > log.entries.length) {
        throw corruptDataError(
          segment.file,
          `lacks the entries before ${entry.index}`,
        );
      }
      log.entries.length = Math.max(0, offset);
      log.entries.push(entry);
      segment.lastIndex = Math.max(segment.lastIndex, entry.index);
    }
  }
}

function parse(file: string, payload: Uint8Array): LogRecord[] {
  try {
    return decodeRecords(payload);
  } catch (thrown) {
    throw corruptDataError(file, `holds a malformed record: ${String(thrown)}`);
  }
}
