import {Fault} from '@marigoldspur/faults';
import type {AppendFile} from './file-system.js';

/** Closes a file whose content is written again or was synced, so that an error is of no concern. */
export async function closeQuietly(
  handle: Pick<AppendFile, 'close'> | undefined,
): Promise<void> {
  await handle?.close().catch(() => {});
}

/** Whether an error tells that the disk is full. */
export function isDiskFull(thrown: unknown): boolean {
  return thrown instanceof Fault && thrown.code === 'DISK_FULL';
}

/**
 * Converts a system error for lack of disk space to `DISK_FULL`; returns other errors
 * unchanged.
 */
export function toDiskError(thrown: unknown): unknown {
  const code = (thrown as {code?: unknown} | undefined)?.code;
  return code === 'ENOSPC' || code === 'EDQUOT'
    ? new Fault('DISK_FULL', 'the disk is full', {cause: thrown})
    : thrown;
}
