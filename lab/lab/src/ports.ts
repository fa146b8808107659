import net from 'node:net';
import {listen} from '@marigoldspur/http-link';

const HOST = '127.0.0.1';
/** Below the range from which systems take the ports of outgoing connections. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Distance between the first ports of processes with neighbouring ids. */
const PROCESS_STRIDE = 101;

let next = (process.pid * PROCESS_STRIDE) % PORT_COUNT;

/**
 * Finds ports on loopback that nobody listens on. No outgoing connection takes one of
 * them before its server listens, and none is given out twice.
 */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries === PORT_COUNT) {
      throw new Error(`no ${count} ports are free on ${HOST}`);
    }
    const port = FIRST_PORT + next;
    next = (next + 1) % PORT_COUNT;
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
