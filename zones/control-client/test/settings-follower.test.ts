import http from 'node:http';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {SettingsDelta} from '@marigoldspur/control-api';
import {ControlClient, SettingsFollower} from '@marigoldspur/control-client';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import {closeServer, listen} from '@marigoldspur/http-link';
import type {Change, SettingsTree} from '@marigoldspur/settings-schema';

const AHEAD = 'http://127.0.0.1:1';

function change(number: number): Change {
  return {
    id: `00000000-0000-4000-8000-${String(number).padStart(12, '0')}`,
    number,
    author: 'test',
    edits: [{edit: 'set', path: '/', setting: 'queueLimit', value: number}],
  };
}

function tree(mark: number): SettingsTree {
  return {settings: {queueLimit: mark}, customers: {}};
}

/** A client whose control and peers give what the test puts there. */
class FakeClient {
  readonly urls = ['http://127.0.0.1:2'];
  deliver: (message: SettingsDelta) => void = () => {};
  peer: (revision: number) => SettingsDelta = () => ({
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
        query: async (input: {revision: number}) => this.peer(input.revision),
      },
    };
  }
}

async function started() {
  const client = new FakeClient();
  const events = new EventLog({process: 'test'});
  const follower = new SettingsFollower(
    client as unknown as ControlClient,
    events,
  );
  await follower.start(performance.now() + 1_000);
  return {client, events, follower};
}

it('follower: it takes the next changes and never goes back', async () => {
  const {client, follower} = await started();
  client.deliver({revision: 5, changes: [change(4), change(5)]});
  expect(follower.settings).to.deep.equal({revision: 5, tree: tree(5)});
  client.deliver({revision: 4, tree: tree(4), changes: []});
  client.deliver({revision: 4, changes: [change(4)]});
  expect(follower.settings).to.deep.equal({revision: 5, tree: tree(5)});
  await follower.stop();
});

it('follower: a delta with a gap is not applied', async () => {
  const {client, follower} = await started();
  const gap = {revision: 5, changes: [change(5)]};
  expect(() => client.deliver(gap)).to.throw('does not follow');
  expect(follower.settings.revision).to.equal(3);
  await follower.stop();
});

it('follower: it pulls from a process that is ahead', async () => {
  const {client, events, follower} = await started();
  client.peer = revision => ({
    revision: revision + 1,
    changes: [change(revision + 1)],
  });
  follower.observeRevision(3, AHEAD);
  follower.observeRevision(4, AHEAD);
  await new Promise(resolve => setImmediate(resolve));
  expect(follower.settings).to.deep.equal({revision: 4, tree: tree(4)});
  const pulled = events
    .eventsAfter(0, 100)
    .filter(e => e.name === 'settings-pulled');
  expect(pulled).to.have.length(1);
  await follower.stop();
});

it('follower: it gives others the changes it keeps, or the tree', async () => {
  const {client, follower} = await started();
  client.deliver({revision: 4, changes: [change(4)]});
  expect(follower.deltaAfter(3).changes).to.deep.equal([change(4)]);
  expect(follower.deltaAfter(1).tree).to.deep.equal(tree(4));
  expect(follower.deltaAfter(4)).to.deep.equal({revision: 4, changes: []});
  await follower.stop();
});

it('follower: a message that is not valid is a typed fault and puts nothing in force', async () => {
  const {client, follower} = await started();
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
    expect(deliver).to.throw('not valid').with.property('code', 'CORRUPT_DATA');
  }
  client.peer = () => ({revision: 4, tree: 'odd', changes: []}) as never;
  follower.observeRevision(4, AHEAD);
  await new Promise(resolve => setImmediate(resolve));
  expect(follower.settings).to.deep.equal({revision: 3, tree: tree(3)});
  await follower.stop();
});

it('follower: after a message that is not valid the stream is opened anew', async () => {
  const leader = http.createServer((_, response) => {
    response.writeHead(200, {'content-type': 'text/event-stream'});
    const message =
      streams === 0 ? {revision: 4} : {revision: 4, changes: [change(4)]};
    streams += 1;
    response.write(`data: ${JSON.stringify(message)}\n\n`);
  });
  let streams = 0;
  const {port} = await listen(leader, {host: '127.0.0.1', port: 0});
  const own = new ControlClient({urls: [`http://127.0.0.1:${port}`]});
  const events = new EventLog({process: 'test'});
  const follower = new SettingsFollower(own, events);
  own.call = async () => Result.ok({revision: 3, tree: tree(3)}) as never;
  await follower.start(performance.now() + 1_000);
  while (follower.settings.revision < 4) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
  const lost = events.eventsAfter(0, 100).filter(e => e.name === 'stream-lost');
  expect(lost.map(e => e.details?.fault)).to.deep.equal(['CORRUPT_DATA']);
  expect(streams).to.equal(2);
  await follower.stop();
  own.close();
  leader.closeAllConnections();
  await closeServer(leader);
});

it('follower: only a confirmed delta confirms', async () => {
  const {client, follower} = await started();
  const before = follower.lastConfirmedAt;
  client.deliver({revision: 3, changes: []});
  expect(follower.lastConfirmedAt).to.equal(before);
  client.deliver({revision: 3, changes: [], confirmed: true});
  expect(follower.lastConfirmedAt).to.be.greaterThan(before);
  await follower.stop();
});
