import {EventEmitter, once} from 'node:events';
import type http from 'node:http';
import {expect} from 'chai';
import {
  FleetStreamServer,
  type FleetStreamServerOptions,
} from '@marigoldspur/fleet';
import {MemoryBudget} from '@marigoldspur/memory-budget';

const MAX_BYTES = 1_000_000;
/** Larger than any line but the state. */
const MAX_KEEPALIVE_BYTES = 1_000;
const TARGET_TEXT = 'a'.repeat(400_000);

/** A follower's connection whose reader takes bytes only when a test says so. */
class Connection extends EventEmitter {
  isDestroyed = false;
  receivedBytes = 0;
  private readonly unread: Array<() => void> = [];
  private isReading = false;

  writeHead(): void {}

  write(line: Buffer, onRead: () => void): void {
    this.receivedBytes += line.length;
    if (line.length > MAX_KEEPALIVE_BYTES) {
      this.emit('state');
    }
    if (this.isReading) {
      setImmediate(onRead);
    } else {
      this.unread.push(onRead);
    }
  }

  read(): void {
    this.isReading = true;
    this.unread.splice(0).forEach(onRead => onRead());
  }

  destroy(): void {
    this.isDestroyed = true;
    this.emit('close');
  }
}

let budget: MemoryBudget;
let server: FleetStreamServer;

beforeEach(() => {
  budget = new MemoryBudget({
    limit: {maxBytes: () => MAX_BYTES},
    heapBytes: () => 0,
  });
  server = new FleetStreamServer({
    deployments: {
      deployment: undefined,
      namedVersions: () => [],
      recordedSoftwareVersions: () => [],
    },
    archive: {head: () => undefined},
    targets: {targets: () => [TARGET_TEXT], ended: () => []},
    replicas: () => ['http://replica'],
    crashRecords: () => ({reports: [], sightings: []}),
    limits: () => [],
    softwareVersions: () => ({observedMs: 0, versions: []}),
    events: {record: () => {}},
    confirm: async () => true,
    memory: budget,
  } as unknown as FleetStreamServerOptions);
});

afterEach(() => server.stop());

async function follow(): Promise<Connection> {
  const connection = new Connection();
  const request = {
    headers: {},
    resume: () => {},
  } as http.IncomingMessage;
  server.handle(request, connection as unknown as http.ServerResponse);
  await new Promise(resolve => setImmediate(resolve));
  return connection;
}

it('unread followers: those that do not read hold no more than the budget, and the next ones wait', async () => {
  const followers = [await follow(), await follow(), await follow()];
  expect(budget.occupancy.heldBytes).to.be.at.most(MAX_BYTES);
  const received = followers.map(({receivedBytes}) => receivedBytes > 0);
  expect(received).to.deep.equal([true, false, false]);
  expect(followers.some(({isDestroyed}) => isDestroyed)).to.equal(false);
});

it('unread followers: one that waits gets the state once another has read its own', async () => {
  const first = await follow();
  const second = await follow();
  await follow();
  const received = once(second, 'state');
  first.read();
  await received;
  expect(first.receivedBytes).to.be.greaterThan(TARGET_TEXT.length);
});

it('unread followers: one that has stalled gives way to one that waits', async function () {
  this.timeout(20_000);
  const stalled = await follow();
  const waiting = await follow();
  await once(waiting, 'state');
  expect(stalled.isDestroyed).to.equal(true);
});

it('unread followers: a closed connection gives its memory back', async () => {
  const follower = await follow();
  expect(budget.occupancy.heldBytes).to.be.greaterThan(0);
  follower.destroy();
  expect(budget.occupancy.heldBytes).to.equal(0);
});
