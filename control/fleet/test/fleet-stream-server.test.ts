import {EventEmitter} from 'node:events';
import type http from 'node:http';
import {expect} from 'chai';
import type {FleetMessage} from '@marigoldspur/deployment';
import {
  FleetStreamServer,
  type FleetStreamServerOptions,
} from '@marigoldspur/fleet';

const NOTHING_KNOWN = {
  deployments: {deployment: undefined, namedVersions: () => []},
  targets: {targets: () => [], ended: () => []},
  replicas: () => ['http://replica'],
} as unknown as Omit<FleetStreamServerOptions, 'confirm'>;

/** A follower's connection, which gives each message that is written to it. */
class Connection extends EventEmitter {
  readonly writableLength = 0;

  writeHead(): void {}

  write(line: string): void {
    this.emit('message', JSON.parse(line) as FleetMessage);
  }

  destroy(): void {}
}

/** Follows a replica until the first whole message; gives it and those before it. */
function follow(streams: FleetStreamServer) {
  const connection = new Connection();
  const before: FleetMessage[] = [];
  const followed = new Promise<{
    readonly whole: FleetMessage;
    readonly before: readonly FleetMessage[];
  }>(resolve => {
    connection.on('message', (message: FleetMessage) => {
      if (message.whole) {
        resolve({whole: message, before: [...before]});
      }
      before.push(message);
    });
  });
  const request = {resume: () => {}} as http.IncomingMessage;
  streams.handle(request, connection as unknown as http.ServerResponse);
  return followed;
}

it('fleet streams: a follower gets everything once a quorum confirms, however often it did not before', async () => {
  let asked = 0;
  const streams = new FleetStreamServer({
    ...NOTHING_KNOWN,
    confirm: async () => (asked += 1) > 3,
  });
  const {whole} = await follow(streams);
  expect(whole.replicas).to.eql(['http://replica']);
  expect(asked).to.equal(4);
  streams.stop();
});

it('fleet streams: a quorum is asked again before the next pulse', async () => {
  let asked = 0;
  const streams = new FleetStreamServer({
    ...NOTHING_KNOWN,
    confirm: async () => (asked += 1) > 1,
  });
  const {before} = await follow(streams);
  expect(before).to.eql([]);
  streams.stop();
});
