import {randomUUID} from 'node:crypto';

/** Returns a new boot ID, which is unique for each start of a process. */
export function createBootId(): string {
  return randomUUID();
}
