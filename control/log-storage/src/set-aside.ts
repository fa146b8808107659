import path from 'node:path';
import {toDiskError} from './disk-errors.js';
import {isTemporaryFile} from './frame-file.js';
import type {FileSystem} from './file-system.js';
import {NodeFileSystem} from './node-file-system.js';
import {IDENTITY_FILE} from './records.js';

/** Options of setting damaged files aside. */
export interface SetAsideOptions {
  readonly folder: string;
  readonly files?: FileSystem;
  /** Maximum size of the files that are kept together, in bytes. */
  readonly maxBytes?: number;
}

/** The files that were set aside. */
export interface SetAsideFiles {
  readonly files: number;
  readonly bytes: number;
  /** Number of files that were removed because they exceed the limits. */
  readonly removed: number;
}

const SUFFIX = '.damaged';
/** Small enough that a small disk holds it beside the files of the new replica. */
const DEFAULT_MAX_BYTES = 33_554_432;
const MAX_FILES = 64;
/** Kind of a file at the start of its name, the one to be kept first in front. */
const KIND_ORDER = ['identity', 'snapshot-', 'log-'];

/** Whether a file name is that of a file that was set aside. */
export function isSetAside(name: string): boolean {
  return name.endsWith(SUFFIX);
}

/**
 * Sets the files of a damaged log aside under the suffix `.damaged`, in place of those of
 * an earlier damage, so that the folder can be opened as that of a new replica. Keeps the
 * newest files within the limits. The identity goes first: at no point does the folder
 * hold a part of the log under the former replica ID. Throws `DISK_FULL` or
 * `DISK_FAILED` if the disk refuses an operation; the same call may then be repeated.
 */
export async function setAsideLog(
  options: SetAsideOptions,
): Promise<SetAsideFiles> {
  try {
    return await setAside(options);
  } catch (thrown) {
    throw toDiskError(thrown);
  }
}

async function setAside({
  folder,
  files = new NodeFileSystem(),
  maxBytes = DEFAULT_MAX_BYTES,
}: SetAsideOptions): Promise<SetAsideFiles> {
  const names = (await files.list(folder)).filter(
    name => !isTemporaryFile(name),
  );
  await setIdentityAside(files, folder, names);
  const damaged = names.filter(
    name => !isSetAside(name) && name !== IDENTITY_FILE,
  );
  for (const name of damaged.sort()) {
    const file = path.join(folder, name);
    await files.rename(file, file + SUFFIX);
  }
  const kept = await removeExcess(files, folder, maxBytes);
  await files.syncFolder(folder);
  return kept;
}

async function setIdentityAside(
  files: FileSystem,
  folder: string,
  names: readonly string[],
): Promise<void> {
  const identity = path.join(folder, IDENTITY_FILE);
  if (names.includes(IDENTITY_FILE)) {
    for (const name of names.filter(isSetAside)) {
      await files.remove(path.join(folder, name));
    }
    await files.syncFolder(folder);
    await files.rename(identity, identity + SUFFIX);
  } else {
    const handle = await files.open(identity + SUFFIX);
    await handle.close();
  }
  await files.syncFolder(folder);
}

async function removeExcess(
  files: FileSystem,
  folder: string,
  maxBytes: number,
): Promise<SetAsideFiles> {
  const names = (await files.list(folder)).filter(isSetAside);
  const kept = {files: 0, bytes: 0, removed: 0};
  for (const name of names.sort(compareValue)) {
    const file = path.join(folder, name);
    const size = await files.size(file);
    if (kept.bytes + size <= maxBytes && kept.files < MAX_FILES) {
      kept.files += 1;
      kept.bytes += size;
    } else {
      kept.removed += 1;
      await remove(files, file);
    }
  }
  return kept;
}

/** Removes a file; the identity is emptied, since its name marks the folder. */
async function remove(files: FileSystem, file: string): Promise<void> {
  if (path.basename(file) !== IDENTITY_FILE + SUFFIX) {
    await files.remove(file);
    return;
  }
  const handle = await files.open(file);
  await handle.truncate(0);
  await handle.close();
}

/** Orders names by kind, then the newest first. */
function compareValue(a: string, b: string): number {
  const kindOf = (name: string) =>
    KIND_ORDER.findIndex(kind => name.startsWith(kind));
  return kindOf(a) - kindOf(b) || (a < b ? 1 : -1);
}
