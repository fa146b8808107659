import {Fault} from '@marigoldspur/faults';
import type {AppendFile} from './file-system.js';

/** System errors for a lack of disk space. */
const FULL_CODES = ['ENOSPC', 'EDQUOT'];
/** System errors after which the same operation may succeed later, as once a disk is mounted again. */
const FAILED_CODES = [
  ...['EIO', 'EROFS', 'ENXIO', 'ENODEV', 'ESTALE'],
  ...['EMFILE', 'ENFILE', 'ENOMEM'],
];

/** Closes a file whose content is written again or was synced, so that an error is of no concern. */
export async function closeQuietly(
  handle: Pick<AppendFile, 'close'> | undefined,
): Promise<void> {
  await handle?.close().catch(() => {});
}

/** Whether a disk refused an operation that may be repeated: it is full, or it failed. */
export function isDiskRefusal(thrown: unknown): thrown is Fault {
  return (
    thrown instanceof Fault &&
    (thrown.code === 'DISK_FULL' || thrown.code === 'DISK_FAILED')
  );
}

/**
 * Converts a system error for lack of disk space to `DISK_FULL`, and one of a disk that fails
 * to `DISK_FAILED`; returns other errors unchanged.
 */
export function toDiskError(thrown: unknown): unknown {
  const {code} = (thrown ?? {}) as {code?: unknown};
  if (typeof code !== 'string' || thrown instanceof Fault) {
    return thrown;
  }
  if (FULL_CODES.includes(code)) {
    return new Fault('DISK_FULL', 'the disk is full', {cause: thrown});
  }
  return FAILED_CODES.includes(code)
    ? new Fault('DISK_FAILED', `an operation on the disk failed: ${code}`, {
        cause: thrown,
      })
    : thrown;
}
