/*
 * Makes the file writes or syncs of a process fail while the fault file names a fault.
 * Load it with `node --import`.
 */
import {readFileSync} from 'node:fs';
import {open, type FileHandle} from 'node:fs/promises';
import {fileURLToPath} from 'node:url';
import {DISK_FAULT_VARIABLE, type DiskFault} from './disk-fault-file.js';

type Method = 'write' | 'truncate' | 'datasync' | 'sync';

const FAULT_ERRORS: Readonly<
  Record<DiskFault, {readonly code: string; readonly methods: Method[]}>
> = {
  'no room': {code: 'ENOSPC', methods: ['write', 'truncate']},
  'failed sync': {code: 'EIO', methods: ['datasync', 'sync']},
};

function readCurrentFault(): DiskFault | undefined {
  try {
    const text = readFileSync(process.env[DISK_FAULT_VARIABLE] ?? '', 'utf8');
    // A file that is being written may still be empty.
    return Object.hasOwn(FAULT_ERRORS, text) ? (text as DiskFault) : undefined;
  } catch {
    return undefined;
  }
}

const handle = await open(fileURLToPath(import.meta.url));
const prototype = Object.getPrototypeOf(handle) as FileHandle;
await handle.close();

for (const method of ['write', 'truncate', 'datasync', 'sync'] as const) {
  const original = prototype[method] as (...args: unknown[]) => unknown;
  const withFault = async function (this: FileHandle, ...args: unknown[]) {
    const fault = readCurrentFault();
    if (fault !== undefined && FAULT_ERRORS[fault].methods.includes(method)) {
      const {code} = FAULT_ERRORS[fault];
      throw Object.assign(new Error(`${code}: ${fault}`), {code});
    }
    return original.apply(this, args);
  };
  Object.assign(prototype, {[method]: withFault});
}
