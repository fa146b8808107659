import {rm, writeFile} from 'node:fs/promises';

/** What may befall the disk of a process of a trial. */
export type DiskFault = 'no room' | 'failed sync';

/** Environment variable that names the file that holds the present fault. */
export const DISK_FAULT_VARIABLE = 'MARIGOLDSPUR_LAB_DISK_FAULT';

/** Options of Node.js that load the module which lets a disk fail. */
export function diskFaultImport(): string {
  return `--import ${new URL('./disk-fault.js', import.meta.url).href}`;
}

/** Begins a fault, or ends it. */
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
