import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {expect} from 'chai';
import type {FleetMessage} from '@marigoldspur/deployment';
import {
  FleetStreamServer,
  type FleetStreamServerOptions,
} from '@marigoldspur/fleet';

const EMPTY_FLEET = {
  deployments: {
    deployment: undefined,
    namedVersions: () => [],
    recordedSoftwareVersions: () => [],
  },
  archive: {head: () => undefined},
  targets: {targets: () => [], ended: () => []},
  replicas: () => ['http://replica'],
  crashRecords: () => ({reports: [], sightings: []}),
  limits: () => [],
  softwareVersions: () => ({observedMs: 0, versions: []}),
  events: {record: () => {}},
} as unknown as Omit<FleetStreamServerOptions, 'confirm'>;

/** A follower's connection that emits each message written to it. */
class Connection extends EventEmitter {
  readonly writableLength = 0;

  writeHead(): void {}

  write(line: string): void {
    this.emit('message', JSON.parse(line) as FleetMessage);
  }

  destroy(): void {}
}

/** Follows a replica until its full state arrives; resolves with it and the messages before it. */
function follow(server: FleetStreamServer) {
  const connection = new Connection();
  const before: FleetMessage[] = [];
  const followed = new Promise<{
    readonly fullState: FleetMessage;
    readonly before: readonly FleetMessage[];
  }>(resolve => {
    connection.on('message', (message: FleetMessage) => {
      if (message.whole) {
        resolve({fullState: message, before: [...before]});
      }
      before.push(message);
    });
  });
  const request = {
    headers: {},
    resume: () => {},
  } as http.IncomingMessage;
  server.handle(request, connection as unknown as http.ServerResponse);
  return followed;
}

it('fleet stream server: a follower receives the full state once a quorum confirms it, after any number of failed confirmations', async () => {
  let attempts = 0;
  const server = new FleetStreamServer({
    ...EMPTY_FLEET,
    confirm: async () => (attempts += 1) > 3,
  });
  const {fullState} = await follow(server);
  expect(fullState.replicas).to.eql(['http://replica']);
  expect(attempts).to.equal(4);
  server.stop();
});

it('fleet stream server: a failed confirmation is retried before the next keepalive', async () => {
  let attempts = 0;
  const server = new FleetStreamServer({
    ...EMPTY_FLEET,
    confirm: async () => (attempts += 1) > 1,
  });
  const {before} = await follow(server);
  expect(before).to.eql([]);
  server.stop();
});
