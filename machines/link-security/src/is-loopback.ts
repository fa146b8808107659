import {isIP} from 'node:net';

/** Returns whether an address to listen on can only be reached from its own host. */
export function isLoopback(host: string): boolean {
  return (isIP(host) === 4 && host.startsWith('127.')) || host === '::1';
}
