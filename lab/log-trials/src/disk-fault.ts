/*
 * Makes the file operations of a process fail while the fault file names a fault. Load it
 * with `node --import`.
 */
import {readFileSync} from 'node:fs';
import promises, {open, type FileHandle} from 'node:fs/promises';
import {syncBuiltinESMExports} from 'node:module';
import {fileURLToPath} from 'node:url';
import {DISK_FAULT_VARIABLE, type DiskFault} from './disk-fault-file.js';

const HANDLE_METHODS = ['write', 'truncate', 'datasync', 'sync'] as const;
const FUNCTIONS = ['rename', 'rm'] as const;

type Method = (typeof HANDLE_METHODS)[number] | (typeof FUNCTIONS)[number];

const FAULT_ERRORS: Readonly<
  Record<DiskFault, {readonly code: string; readonly methods: Method[]}>
> = {
  'no room': {code: 'ENOSPC', methods: ['write', 'truncate', 'rename', 'rm']},
  'writes refused': {code: 'ENOSPC', methods: ['write']},
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

for (const [methods, owner] of [
  [HANDLE_METHODS, prototype],
  [FUNCTIONS, promises],
] as const) {
  for (const method of methods) {
    const original = Reflect.get(owner, method) as (
      ...args: unknown[]
    ) => unknown;
    const withFault = async function (this: unknown, ...args: unknown[]) {
      const fault = readCurrentFault();
      if (fault !== undefined && FAULT_ERRORS[fault].methods.includes(method)) {
        const {code} = FAULT_ERRORS[fault];
        throw Object.assign(new Error(`${code}: ${fault}`), {code});
      }
      return original.apply(this, args);
    };
    Object.assign(owner, {[method]: withFault});
  }
}
syncBuiltinESMExports();
