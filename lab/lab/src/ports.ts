import net from 'node:net';
import {listen} from '@marigoldspur/http-link';

const LOOPBACK = '127.0.0.1';
/** All ports are below the ephemeral range, from which outgoing connections get their ports. */
const FIRST_PORT = 10_000;
const PORTS_PER_BLOCK = 100;
const BLOCK_COUNT = 200;

/**
 * Allocates ports on loopback in blocks. While the process runs, it listens on the first
 * port of each of its blocks, so that no other allocator uses the block. Otherwise two
 * allocators could return the same free port before a server listens on it.
 */
export class PortAllocator {
  private nextPort = 0;
  private blockEnd = 0;

  /** `nextBlock` is the first block to try, from 0 to 199. */
  constructor(private nextBlock: number) {}

  /** Finds ports on which no server listens; returns no port twice. */
  async allocate(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      if (this.nextPort === this.blockEnd) {
        await this.reserveBlock();
      }
      const port = this.nextPort;
      this.nextPort += 1;
      if (await isFree(port)) {
        ports.push(port);
      }
    }
    return ports;
  }

  private async reserveBlock(): Promise<void> {
    for (let attempts = 0; attempts < BLOCK_COUNT; attempts += 1) {
      const first = FIRST_PORT + this.nextBlock * PORTS_PER_BLOCK;
      this.nextBlock = (this.nextBlock + 1) % BLOCK_COUNT;
      const server = await listenIfFree(first);
      if (server !== undefined) {
        server.unref();
        this.nextPort = first + 1;
        this.blockEnd = first + PORTS_PER_BLOCK;
        return;
      }
    }
    throw new Error(
      `all ${BLOCK_COUNT} blocks of ports on ${LOOPBACK} are in use`,
    );
  }
}

/** Each process starts at a block that depends on its ID, so that it rarely tries one in use. */
const allocator = new PortAllocator(process.pid % BLOCK_COUNT);

/**
 * Finds free ports on loopback. Until the caller listens on them, they are used neither
 * by outgoing connections nor by other processes that call this function. No port is
 * returned twice.
 */
export function findFreePorts(count: number): Promise<number[]> {
  return allocator.allocate(count);
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenIfFree(port);
  if (server === undefined) {
    return false;
  }
  await new Promise<void>(resolve => server.close(() => resolve()));
  return true;
}

/** Listens on a port; returns undefined if the port is in use. */
async function listenIfFree(port: number): Promise<net.Server | undefined> {
  const server = net.createServer();
  try {
    await listen(server, {host: LOOPBACK, port});
    return server;
  } catch {
    return undefined;
  }
}
