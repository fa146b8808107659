import {isIP} from 'node:net';

/** Whether an address to listen on is reached from its own host only. */
export function isLoopback(host: string): boolean {
  return (isIP(host) === 4 && host.startsWith('127.')) || host === '::1';
}
