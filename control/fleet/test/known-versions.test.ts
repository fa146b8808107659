import http from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {NamedVersion} from '@marigoldspur/deployment';
import {EventLog} from '@marigoldspur/event-log';
import {
  FleetStreamServer,
  type FleetStreamServerOptions,
} from '@marigoldspur/fleet';
import {FleetFollower} from '@marigoldspur/fleet-client';

const ADAPTERS = 36_000;
const REPLICAS = 5;
/** What a replica may cost a host in one second, in bytes. */
const REPLICA_BYTES = 23_000;

let versions: NamedVersion[];
let urls: string[];
let servers: http.Server[];
let streams: FleetStreamServer[];
let events: EventLog;
let follower: FleetFollower;
let received: Map<string, number>;
/** Called with each message that the follower has read. */
let onReceived: () => void;

async function startReplica(): Promise<void> {
  const stream = new FleetStreamServer({
    deployments: {
      deployment: undefined,
      namedVersions: () => versions,
      recordedSoftwareVersions: () => [],
    },
    archive: {head: () => undefined},
    targets: {targets: () => [], ended: () => []},
    replicas: () => urls,
    crashRecords: () => ({reports: [], sightings: []}),
    limits: () => [],
    softwareVersions: () => ({observedMs: 0, versions: []}),
    events: {record: () => {}},
    confirm: async () => true,
  } as unknown as FleetStreamServerOptions);
  const server = http.createServer((request, response) =>
    stream.handle(request, response),
  );
  await once(server.listen(0, '127.0.0.1'), 'listening');
  streams.push(stream);
  servers.push(server);
  urls.push(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise<void>(resolve => (onReceived = resolve));
  }
}

function receivedBytes(): number {
  return [...received.values()].reduce((sum, bytes) => sum + bytes, 0);
}

/** Number of streams whose state has come. */
function followedStreams(): number {
  return events
    .eventsAfter(0, 1_000)
    .filter(({name}) => name === 'fleet-followed').length;
}

beforeEach(async () => {
  versions = Array.from({length: ADAPTERS}, (_, index) => ({
    model: 'base-70b',
    adapter: `customer-adapter-${index}`,
    version: index,
  }));
  urls = [];
  servers = [];
  streams = [];
  received = new Map();
  onReceived = () => {};
  for (let replica = 0; replica < REPLICAS; replica += 1) {
    await startReplica();
  }
  events = new EventLog({process: 'entry'});
  follower = new FleetFollower({
    seeds: urls,
    agent: new http.Agent({keepAlive: true}),
    events,
    onChange: () => {},
    onCrashRecords: () => {},
    onSoftwareVersions: () => {},
    onLimits: () => {},
    onReceived: (url, bytes) => {
      received.set(url, (received.get(url) ?? 0) + bytes);
      setImmediate(() => onReceived());
    },
  });
  await until(() => follower.followedCount === REPLICAS);
});

afterEach(() => {
  follower.stop();
  streams.forEach(stream => stream.stop());
  servers.forEach(server => {
    server.closeAllConnections();
    server.close();
  });
});

it('known versions: an entry that starts gets all named versions from one of five replicas', () => {
  const copyBytes = Buffer.byteLength(JSON.stringify(versions));
  expect(follower.view.versionOf('base-70b', 'customer-adapter-7')).to.equal(7);
  expect(receivedBytes()).to.be.below(copyBytes + REPLICAS * REPLICA_BYTES);
});

it('known versions: a replica to which an entry reconnects does not send them again', async () => {
  const before = receivedBytes();
  servers[0].closeAllConnections();
  await until(() => followedStreams() === REPLICAS + 1);
  expect(receivedBytes() - before).to.be.below(REPLICAS * REPLICA_BYTES);
});

it('known versions: versions that were named while an entry was not connected reach it', async () => {
  servers[0].closeAllConnections();
  versions = [{...versions[0], version: 100_000}, ...versions.slice(1)];
  streams[0].broadcastDeployment();
  const name = versions[0].adapter;
  await until(() => follower.view.versionOf('base-70b', name) === 100_000);
});
