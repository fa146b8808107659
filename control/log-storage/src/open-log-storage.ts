import {randomUUID} from 'node:crypto';
import path from 'node:path';
import type {HardState, RecoveredState} from '@marigoldspur/consensus';
import {
  corruptDataError,
  isTemporaryFile,
  readFrameFile,
  writeFileAtomically,
} from './frame-file.js';
import {closeQuietly, toDiskError} from './disk-errors.js';
import type {FileSystem} from './file-system.js';
import {decodeFrames} from './frame.js';
import {LogStorage, type LogStorageOptions} from './log-storage.js';
import {NodeFileSystem} from './node-file-system.js';
import {copySegment, createSegment, reopenSegment} from './segment-writer.js';
import {IDENTITY_FILE, IDENTITY_SCHEMA} from './records.js';
import {readSnapshot, replaySegments, segmentFile} from './recover.js';
import {isSetAside} from './set-aside.js';

/** Opened log storage and the state recovered from it. */
export interface OpenedStorage {
  readonly storage: LogStorage;
  /** Replica ID, created when the folder is empty. */
  readonly id: string;
  /** Whether the folder was new. */
  readonly isNew: boolean;
  /** Whether the replica replaces one whose damaged files were set aside. */
  readonly isReplacement: boolean;
  readonly recovered: RecoveredState;
  /** The serialized state machine of the recovered snapshot. */
  readonly snapshotData?: string;
  /** Length of a torn write that was removed, in bytes. */
  readonly tornBytes: number;
}

const EMPTY_STATE: HardState = {group: '', term: 0, vote: ''};

/**
 * Opens the storage of a replica. Throws `CORRUPT_DATA` if synced data is damaged or
 * missing, and `DISK_FULL` or `DISK_FAILED` if the disk refuses an operation; the call may
 * then be repeated with `isSyncInDoubt`.
 */
export async function openLogStorage(
  options: LogStorageOptions,
): Promise<OpenedStorage> {
  try {
    return await openFolder(options);
  } catch (thrown) {
    throw toDiskError(thrown);
  }
}

async function openFolder(options: LogStorageOptions): Promise<OpenedStorage> {
  const files = options.files ?? new NodeFileSystem();
  const {folder} = options;
  const firstCreated = await files.makeFolder(folder);
  await syncFoldersAbove(files, folder, firstCreated);
  const names = await files.list(folder);
  await removeTemporaryFiles(options, files, names);
  return names.includes(IDENTITY_FILE)
    ? openExisting(options, files, names)
    : openNew(options, files, names);
}

/** Removes what interrupted writes left; what can't be removed is ignored, and removed at the next start. */
async function removeTemporaryFiles(
  {folder, onRemovalFailure}: LogStorageOptions,
  files: FileSystem,
  names: readonly string[],
): Promise<void> {
  for (const name of names.filter(isTemporaryFile)) {
    try {
      await files.remove(path.join(folder, name));
    } catch (thrown) {
      onRemovalFailure?.(thrown);
    }
  }
}

/**
 * Syncs the folders in which the folder and those above it were created. The two above it are
 * synced in any case, since an earlier start may have ended before it did that.
 */
async function syncFoldersAbove(
  files: FileSystem,
  folder: string,
  firstCreated: string | undefined,
): Promise<void> {
  const parent = path.dirname(folder);
  const grandparent = path.dirname(parent);
  await files.syncFolder(parent);
  const first = firstCreated && path.resolve(firstCreated);
  const hasCreatedParent =
    first !== undefined && first !== path.resolve(folder);
  await files.syncFolder(grandparent).catch(thrown => {
    // Where nothing was created in it, this process may not be allowed to open it.
    if (hasCreatedParent) {
      throw thrown;
    }
  });
  const last = first && path.dirname(first);
  let next = path.resolve(grandparent);
  while (last !== undefined && next !== last && next.startsWith(last)) {
    next = path.dirname(next);
    await files.syncFolder(next);
  }
}

async function openNew(
  options: LogStorageOptions,
  files: FileSystem,
  names: readonly string[],
): Promise<OpenedStorage> {
  const {folder} = options;
  const remaining = names.filter(
    name => !isTemporaryFile(name) && !isSetAside(name),
  );
  const firstSegment = segmentFile(folder, 1);
  const isUnused = await containsOnlyHeader(files, firstSegment, remaining);
  if (!isUnused) {
    throw corruptDataError(folder, 'contains a log but no replica ID');
  }
  const id = randomUUID();
  const segment = await createSegment(files, {
    folder,
    sequence: 1,
    state: EMPTY_STATE,
    lastIndex: 0,
  });
  const isReplacement = names.some(isSetAside);
  const identity = Buffer.from(JSON.stringify({id, isReplacement}));
  try {
    await writeFileAtomically(files, path.join(folder, IDENTITY_FILE), [
      identity,
    ]);
  } catch (thrown) {
    await closeQuietly(segment);
    throw thrown;
  }
  const storage = new LogStorage(options, files, EMPTY_STATE, 0, [], segment);
  const recovered = {state: EMPTY_STATE, entries: []};
  return {storage, id, isNew: true, isReplacement, recovered, tornBytes: 0};
}

/**
 * Whether a folder contains at most the segment header that an interrupted first
 * opening leaves.
 */
async function containsOnlyHeader(
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
  const {payloads} = decodeFrames(await files.read(firstSegment));
  return payloads.length <= 1;
}

async function openExisting(
  options: LogStorageOptions,
  files: FileSystem,
  names: readonly string[],
): Promise<OpenedStorage> {
  const {folder} = options;
  const identityFile = path.join(folder, IDENTITY_FILE);
  const [identity] = await readFrameFile(files, identityFile, 1);
  const text = Buffer.from(identity).toString('utf8');
  const {id, isReplacement = false} = IDENTITY_SCHEMA.parse(JSON.parse(text));
  const snapshot = await readSnapshot(files, folder, names);
  const log = await replaySegments(files, folder, names, snapshot);
  const last = log.segments.pop();
  if (last === undefined) {
    throw corruptDataError(folder, 'contains a replica ID but no log');
  }
  if (options.isSyncInDoubt === true) {
    await copySegment(files, last, log);
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
  try {
    await files.syncFolder(folder);
    if (log.isSupersededBySnapshot && snapshot !== undefined) {
      await storage.reset(snapshot);
    }
  } catch (thrown) {
    await closeQuietly(storage);
    throw thrown;
  }
  const recovered = {state: log.state, snapshot, entries: log.entries};
  const {tornBytes} = log;
  return {
    storage,
    id,
    isNew: false,
    isReplacement,
    recovered,
    snapshotData: snapshot?.data,
    tornBytes,
  };
}
