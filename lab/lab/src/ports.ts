import net from 'node:net';
import {listen} from '@marigoldspur/http-link';

const HOST = '127.0.0.1';
/** The ports are below the ephemeral range, from which outgoing connections take theirs. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Offset between the first ports of processes with consecutive process IDs. */
const PROCESS_STRIDE = 101;

let nextOffset = (process.pid * PROCESS_STRIDE) % PORT_COUNT;

/**
 * Finds free ports on loopback. No outgoing connection can take one of them before its
 * server listens, and no port is returned twice.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let attempts = 0; ports.length < count; attempts += 1) {
    if (attempts === PORT_COUNT) {
      throw new Error(`could not find ${count} free ports on ${HOST}`);
    }
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) {
      ports.push(port);
    }
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  try {
    await listen(server, {host: HOST, port});
  } catch {
    return false;
  }
  await new Promise<void>(resolve => server.close(() => resolve()));
  return true;
}
