import {randomUUID} from 'node:crypto';
import path from 'node:path';
import type {
  HardState,
  LogOperation,
  Position,
  Recovered,
  Snapshot,
} from '@marigoldspur/consensus';
import {Fault} from '@marigoldspur/faults';
import {corrupt, isTemporary, readWhole, writeWhole} from './durable-file.js';
import type {AppendFile, FileSystem} from './file-system.js';
import {frame, readFrames} from './frame.js';
import {NodeFileSystem} from './node-file-system.js';
import {encodeRecords, IDENTITY_SCHEMA, type LogRecord} from './records.js';
import {
  readSnapshot,
  replaySegments,
  segmentFile,
  snapshotFile,
  snapshotNames,
  type ReplayedLog,
  type Segment,
} from './recover.js';

/** Options of the storage of a log. */
export interface LogStorageOptions {
  readonly folder: string;
  readonly files?: FileSystem;
  /** Size from which a new segment is begun, in bytes. */
  readonly segmentBytes?: number;
}

/** A storage that was opened, with what it held. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  /** Identity of the replica, made when its folder was empty. */
  readonly id: string;
  /** Whether the folder was empty. */
  readonly isNew: boolean;
  readonly recovered: Recovered;
  /** The state machine's content at the recovered snapshot. */
  readonly data?: string;
  /** Bytes of a torn write that were cut off. */
  readonly tornBytes: number;
}

const IDENTITY_FILE = 'identity';
const DEFAULT_SEGMENT_BYTES = 4_194_304;
const EMPTY_STATE: HardState = {group: '', term: 0, vote: ''};

/**
 * Opens the files of a replica. Throws `CORRUPT_DATA` where something that was
 * synced is damaged or missing.
 */
export async function openLogStorage(
  options: LogStorageOptions,
): Promise<OpenedStorage> {
  const files = options.files ?? new NodeFileSystem();
  const {folder} = options;
  await files.makeFolder(folder);
  await files.syncFolder(path.dirname(folder));
  const names = await files.list(folder);
  for (const name of names.filter(isTemporary)) {
    await files.remove(path.join(folder, name));
  }
  return names.includes(IDENTITY_FILE)
    ? openExisting(options, files, names)
    : openNew(options, files, names);
}

async function openNew(
  options: LogStorageOptions,
  files: FileSystem,
  names: readonly string[],
): Promise<OpenedStorage> {
  const {folder} = options;
  const kept = names.filter(name => !isTemporary(name));
  const firstSegment = segmentFile(folder, 1);
  const isUnused = await holdsOnlyHeader(files, firstSegment, kept);
  if (!isUnused) {
    throw corrupt(folder, 'holds a log without an identity');
  }
  const id = randomUUID();
  const segment = await openSegment(files, folder, 1, EMPTY_STATE, 0);
  const identity = Buffer.from(JSON.stringify({id}));
  await writeWhole(files, path.join(folder, IDENTITY_FILE), [identity]);
  const storage = new LogStorage(options, files, EMPTY_STATE, 0, [], segment);
  const recovered = {state: EMPTY_STATE, entries: []};
  return {storage, id, isNew: true, recovered, tornBytes: 0};
}

/** Whether a folder holds at most what an opening that was cut short leaves. */
async function holdsOnlyHeader(
  files: FileSystem,
  firstSegment: string,
  names: readonly string[],
): Promise<boolean> {
  if (names.length === 0) {
    return true;
  }
  if (names.length > 1 || names[0] !== path.basename(firstSegment)) {
    return false;
  }
  const {payloads} = readFrames(await files.read(firstSegment));
  return payloads.length <= 1;
}

async function openExisting(
  options: LogStorageOptions,
  files: FileSystem,
  names: readonly string[],
): Promise<OpenedStorage> {
  const {folder} = options;
  const identityFile = path.join(folder, IDENTITY_FILE);
  const [identity] = await readWhole(files, identityFile, 1);
  const text = Buffer.from(identity).toString('utf8');
  const {id} = IDENTITY_SCHEMA.parse(JSON.parse(text));
  const snapshot = await readSnapshot(files, folder, names);
  const log = await replaySegments(files, folder, names, snapshot);
  const last = log.segments.pop();
  if (last === undefined) {
    throw corrupt(folder, 'has lost its log');
  }
  const segment = await reopenSegment(files, folder, last, log);
  const storage = new LogStorage(
    options,
    files,
    log.state,
    log.lastIndex,
    log.segments,
    segment,
  );
  if (log.isOverruled && snapshot !== undefined) {
    await storage.reset(snapshot);
  }
  const recovered = {state: log.state, snapshot, entries: log.entries};
  const {tornBytes} = log;
  return {
    storage,
    id,
    isNew: false,
    recovered,
    data: snapshot?.data,
    tornBytes,
  };
}

/** A segment that is written to. */
interface OpenSegment {
  readonly segment: Segment;
  readonly handle: AppendFile;
  /** Length of its synced part, in bytes. */
  length: number;
}

async function openSegment(
  files: FileSystem,
  folder: string,
  sequence: number,
  state: HardState,
  lastIndex: number,
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
  return {segment, handle, length: header.length};
}

async function reopenSegment(
  files: FileSystem,
  folder: string,
  segment: Segment,
  log: ReplayedLog,
): Promise<OpenSegment> {
  if (log.goodLength === 0) {
    const {state, lastIndex} = log;
    return openSegment(files, folder, segment.sequence, state, lastIndex);
  }
  const handle = await files.open(segment.file);
  if (log.tornBytes > 0) {
    await handle.truncate(log.goodLength);
    await handle.sync();
  }
  return {segment, handle, length: log.goodLength};
}

/** The synced files of one replica: segments of the log, a snapshot, its identity. */
export class LogStorage {
  /** The open segment ends with a write that failed. */
  private hasRest = false;
  /** Removals run one after the other. */
  private removal: Promise<void> = Promise.resolve();

  constructor(
    private readonly options: LogStorageOptions,
    private readonly files: FileSystem,
    private state: HardState,
    private lastIndex: number,
    private readonly closed: Segment[],
    private current: OpenSegment,
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
    await this.append(frame(encodeRecords(operations.map(recordOf))));
    for (const operation of operations) {
      await this.note(operation);
    }
  }

  /** Drops the log up to a snapshot that was taken over before a crash. */
  async reset(place: Position): Promise<void> {
    const {index, term} = place;
    await this.append(frame(encodeRecords([{record: 'reset', index, term}])));
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
    await this.current.handle.close();
  }

  private async note(operation: LogOperation): Promise<void> {
    switch (operation.operation) {
      case 'state':
        this.state = operation.state;
        return;
      case 'entries': {
        const {segment} = this.current;
        this.lastIndex = operation.entries.at(-1)!.index;
        segment.lastIndex = Math.max(segment.lastIndex, this.lastIndex);
        return;
      }
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
      await writeWhole(this.files, file, payloads);
    } catch (thrown) {
      throw diskFault(thrown);
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
    if (this.current.length < limit || this.hasRest) {
      return;
    }
    const previous = this.current;
    const {folder} = this.options;
    const sequence = previous.segment.sequence + 1;
    try {
      this.current = await openSegment(
        this.files,
        folder,
        sequence,
        this.state,
        this.lastIndex,
      );
    } catch (thrown) {
      throw diskFault(thrown);
    }
    this.closed.push(previous.segment);
    await previous.handle.close();
  }

  private async append(bytes: Uint8Array): Promise<void> {
    const {handle, length} = this.current;
    if (this.hasRest) {
      await handle.truncate(length);
      this.hasRest = false;
    }
    try {
      await handle.append(bytes);
    } catch (thrown) {
      this.hasRest = true;
      throw diskFault(thrown);
    }
    await handle.sync();
    this.current.length += bytes.length;
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

function diskFault(thrown: unknown): unknown {
  const code = (thrown as {code?: unknown} | undefined)?.code;
  return code === 'ENOSPC' || code === 'EDQUOT'
    ? new Fault('DISK_FULL', 'the disk is full', {cause: thrown})
    : thrown;
}
