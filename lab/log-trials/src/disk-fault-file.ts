import {rm, writeFile} from 'node:fs/promises';

/** Kinds of disk faults. */
export type DiskFault = 'no room' | 'writes refused' | 'failed sync';

/** Environment variable with the path of the file that contains the current fault. */
export const DISK_FAULT_VARIABLE = 'MARIGOLDSPUR_LAB_DISK_FAULT';

/** Options of Node.js that load the module that injects disk faults. */
export function diskFaultNodeOptions(): string {
  return `--import ${new URL('./disk-fault.js', import.meta.url).href}`;
}

/** Begins a fault by writing its file; undefined ends the fault. */
export async function setDiskFault(
  file: string,
  fault: DiskFault | undefined,
): Promise<void> {
  if (fault === undefined) {
    await rm(file, {force: true});
  } else {
    await writeFile(file, fault);
  }
}
