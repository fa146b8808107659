import path from 'node:path';
import {Fault} from '@marigoldspur/faults';
import type {FileSystem} from './file-system.js';
import {encodeFrame, decodeFrames} from './frame.js';

const TEMPORARY_SUFFIX = '.tmp';

/** Whether a file is left over from a write that was cut short. */
export function isTemporaryFile(name: string): boolean {
  return name.endsWith(TEMPORARY_SUFFIX);
}

/**
 * Writes a whole file so that it stands under its name complete or not at all:
 * beside it first, synced, renamed, and the folder synced.
 */
export async function writeFileAtomically(
  files: FileSystem,
  file: string,
  payloads: readonly Uint8Array[],
): Promise<void> {
  const temporary = file + TEMPORARY_SUFFIX;
  const handle = await files.open(temporary);
  try {
    await handle.truncate(0);
    for (const payload of payloads) {
      await handle.append(encodeFrame(payload));
    }
    await handle.sync();
  } catch (thrown) {
    await files.remove(temporary);
    throw thrown;
  } finally {
    await handle.close();
  }
  await files.rename(temporary, file);
  await files.syncFolder(path.dirname(file));
}

/** Reads the frames of a whole file; anything damaged is `CORRUPT_DATA`. */
export async function readFrameFile(
  files: FileSystem,
  file: string,
  count: number,
): Promise<readonly Uint8Array[]> {
  const bytes = await files.read(file);
  const {payloads, validLength: goodLength} = decodeFrames(bytes);
  if (payloads.length !== count || goodLength !== bytes.length) {
    throw corruptDataError(file, 'is damaged');
  }
  return payloads;
}

/** The fault of a file whose content cannot be trusted. */
export function corruptDataError(file: string, reason: string): Fault {
  return new Fault('CORRUPT_DATA', `${path.basename(file)} ${reason}`);
}
