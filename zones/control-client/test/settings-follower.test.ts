import http from 'node:http';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {SettingsDelta} from '@marigoldspur/control-api';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {closeServer, listen} from '@marigoldspur/http-link';
import type {Change, SettingsTree} from '@marigoldspur/settings-schema';

const NEWER_PROCESS_URL = 'http://127.0.0.1:1';

function change(number: number): Change {
  return {
    id: `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`,
    number,
    author: 'test',
    edits: [{edit: 'set', path: '/', setting: 'queueLimit', value: number}],
  };
}

function tree(queueLimit: number): SettingsTree {
  return {settings: {queueLimit}, customers: {}};
}

/** A client whose control and peers return what the test sets. */
class FakeClient {
  readonly urls = ['http://127.0.0.1:2'];
  deliver: (message: SettingsDelta) => void = () => {};
  settingsOfPeer: (revision: number) => SettingsDelta = () => ({
    revision: 0,
    changes: [],
  });

  async call(): Promise<Result<unknown, Fault>> {
    return Result.ok({revision: 3, tree: tree(3)});
  }

  subscribe(
    _url: string,
    options: {
      signal: AbortSignal;
      onMessage: (message: unknown) => void;
    },
  ): Promise<Fault> {
    this.deliver = options.onMessage;
    return new Promise(resolve =>
      options.signal.addEventListener('abort', () =>
        resolve(new Fault('STOPPING', 'closed')),
      ),
    );
  }

  process() {
    return {
      settings: {
        query: async (input: {revision: number}) =>
          this.settingsOfPeer(input.revision),
      },
    };
  }
}

async function startFollower() {
  const client = new FakeClient();
  const events = new EventLog({process: 'test'});
  const follower = new SettingsFollower(
    client as unknown as ControlClient,
    events,
  );
  await follower.start(performance.now() + 1_000);
  return {client, events, follower};
}

it('settings follower: applies newer changes and never goes back to an older revision', async () => {
  const {client, follower} = await startFollower();
  client.deliver({revision: 5, changes: [change(4), change(5)]});
  expect(follower.settings).to.deep.equal({revision: 5, tree: tree(5)});
  client.deliver({revision: 4, tree: tree(4), changes: []});
  client.deliver({revision: 4, changes: [change(4)]});
  expect(follower.settings).to.deep.equal({revision: 5, tree: tree(5)});
  await follower.stop();
});

it('settings follower: a delta with a gap is rejected', async () => {
  const {client, follower} = await startFollower();
  const gap = {revision: 5, changes: [change(5)]};
  expect(() => client.deliver(gap)).to.throw(
    'the delta does not continue from the active revision',
  );
  expect(follower.settings.revision).to.equal(3);
  await follower.stop();
});

it('settings follower: pulls from a process with a newer revision', async () => {
  const {client, events, follower} = await startFollower();
  client.settingsOfPeer = revision => ({
    revision: revision + 1,
    changes: [change(revision + 1)],
  });
  follower.observeRevision(3, NEWER_PROCESS_URL);
  follower.observeRevision(4, NEWER_PROCESS_URL);
  await new Promise(resolve => setImmediate(resolve));
  expect(follower.settings).to.deep.equal({revision: 4, tree: tree(4)});
  const pulled = events
    .eventsAfter(0, 100)
    .filter(e => e.name === 'settings-pulled');
  expect(pulled).to.have.length(1);
  await follower.stop();
});

it('settings follower: returns the kept changes to other processes, or the whole tree', async () => {
  const {client, follower} = await startFollower();
  client.deliver({revision: 4, changes: [change(4)]});
  expect(follower.deltaAfter(3).changes).to.deep.equal([change(4)]);
  expect(follower.deltaAfter(1).tree).to.deep.equal(tree(4));
  expect(follower.deltaAfter(4)).to.deep.equal({revision: 4, changes: []});
  await follower.stop();
});

it('settings follower: an invalid message is a CORRUPT_DATA fault and does not change the settings', async () => {
  const {client, follower} = await startFollower();
  const [tree4, change4] = [tree(4), change(4)];
  const bad: unknown[] = [
    {revision: 4},
    {revision: '4', tree: tree4, changes: []},
    {revision: 4, tree: {settings: {queueLimit: -1}}, changes: []},
    {revision: 4, changes: [{...change4, edits: [{edit: 'odd'}]}]},
    'text',
  ];
  for (const message of bad) {
    const deliver = () => client.deliver(message as SettingsDelta);
    expect(deliver)
      .to.throw('invalid message')
      .with.property('code', 'CORRUPT_DATA');
  }
  client.settingsOfPeer = () =>
    ({revision: 4, tree: 'odd', changes: []}) as never;
  follower.observeRevision(4, NEWER_PROCESS_URL);
  await new Promise(resolve => setImmediate(resolve));
  expect(follower.settings).to.deep.equal({revision: 3, tree: tree(3)});
  await follower.stop();
});

it('settings follower: the stream is reopened after an invalid message', async () => {
  const server = http.createServer((_, response) => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    const message =
      streamCount === 0 ? {revision: 4} : {revision: 4, changes: [change(4)]};
    streamCount += 1;
    response.write(`data: ${JSON.stringify(message)}\n\n`);
  });
  let streamCount = 0;
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const client = new ControlClient({urls: [`http://127.0.0.1:${port}`]});
  const events = new EventLog({process: 'test'});
  const follower = new SettingsFollower(client, events);
  client.call = async () => Result.ok({revision: 3, tree: tree(3)}) as never;
  await follower.start(performance.now() + 1_000);
  while (follower.settings.revision < 4) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const lost = events.eventsAfter(0, 100).filter(e => e.name === 'stream-lost');
  expect(lost.map(e => e.details?.fault)).to.deep.equal(['CORRUPT_DATA']);
  expect(streamCount).to.equal(2);
  await follower.stop();
  client.close();
  server.closeAllConnections();
  await closeServer(server);
});

it('settings follower: only a confirmed delta updates the confirmation time', async () => {
  const {client, follower} = await startFollower();
  const before = follower.lastConfirmedAt;
  client.deliver({revision: 3, changes: []});
  expect(follower.lastConfirmedAt).to.equal(before);
  client.deliver({revision: 3, changes: [], confirmed: true});
  expect(follower.lastConfirmedAt).to.be.greaterThan(before);
  await follower.stop();
});
