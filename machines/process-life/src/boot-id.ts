import {randomUUID} from 'node:crypto';

/** A new boot identity, different for each start of a process. */
export function createBootId(): string {
  return randomUUID();
}
