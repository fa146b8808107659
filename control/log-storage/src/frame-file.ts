import path from 'node:path';
import {Fault} from '@marigoldspur/faults';
import type {FileSystem} from './file-system.js';
import {encodeFrame, decodeFrames} from './frame.js';
import {closeQuietly} from './disk-errors.js';

const TEMPORARY_SUFFIX = '.tmp';

/**
 * Whether a file name is that of a temporary file, which an interrupted write may leave
 * behind.
 */
export function isTemporaryFile(name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX);
}

/** Writes a file of frames atomically. */
export function writeFileAtomically(
  files: FileSystem,
  file: string,
  payloads: readonly Uint8Array[],
): Promise<void> {
  return writeBytesAtomically(files, file, payloads.map(encodeFrame));
}

/**
 * Writes a file atomically: writes a temporary file, syncs it, renames it and syncs the
 * folder. After a crash the file is complete, or as it was before.
 */
export async function writeBytesAtomically(
  files: FileSystem,
  file: string,
  parts: readonly Uint8Array[],
): Promise<void> {
  const temporary = file + TEMPORARY_SUFFIX;
  const handle = await files.open(temporary);
  try {
    await handle.truncate(0);
    for (const part of parts) {
      await handle.append(part);
    }
    await handle.sync();
  } catch (thrown) {
    await closeQuietly(handle);
    // One that stays is overwritten by the next write, or removed at the next start.
    await files.remove(temporary).catch(() => {});
    throw thrown;
  }
  await closeQuietly(handle);
  await files.rename(temporary, file);
  await files.syncFolder(path.dirname(file));
}

/** Reads a file of `count` frames. Throws `CORRUPT_DATA` if the file is damaged. */
export async function readFrameFile(
  files: FileSystem,
  file: string,
  count: number,
): Promise<readonly Uint8Array[]> {
  const bytes = await files.read(file);
  const {payloads, validLength} = decodeFrames(bytes);
  if (payloads.length !== count || validLength !== bytes.length) {
    throw corruptDataError(file, 'is damaged');
  }
  return payloads;
}

/** Returns a `CORRUPT_DATA` error for a file. */
export function corruptDataError(file: string, reason: string): Fault {
  return new Fault('CORRUPT_DATA', `${path.basename(file)} ${reason}`);
}
