import http from 'node:http';
import type net from 'node:net';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import type {StreamOrigin} from '@marigoldspur/deployment';
import {StreamOriginClient} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';

let agent: http.Agent;
let servers: http.Server[];
/** Calls of the origins in each request. */
let received: string[][];
let connections: net.Socket[];
/** Answers of each replica to a lookup; requests for which it is undefined wait. */
let answers: Array<object | undefined>;

beforeEach(() => {
  agent = new http.Agent({keepAlive: true});
  servers = [];
  received = [];
  connections = [];
  answers = [];
});

afterEach(() => {
  agent.destroy();
  servers.forEach(server => {
    server.closeAllConnections();
    server.close();
  });
});

/** Starts replicas of control; resolves to a client of them. */
async function start(count: number): Promise<StreamOriginClient> {
  for (let index = 0; index < count; index += 1) {
    const server = http.createServer((request, response) => {
      request.on('data', (piece: Buffer) => {
        for (const line of piece.toString().trim().split('\n')) {
          const {origins} = JSON.parse(line) as {origins?: StreamOrigin[]};
          received.push((origins ?? []).map(({call}) => call));
        }
        if (answers[index] !== undefined) {
          response.end(JSON.stringify(answers[index]));
        }
      });
    });
    server.on('connection', socket => connections.push(socket));
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const urls = servers.map(
    server => `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
  );
  return new StreamOriginClient({
    agent,
    replicas: () => urls,
    recent: () => [origin('recent')],
    events: new EventLog({process: 'test'}),
  });
}

function origin(call: string): StreamOrigin {
  return {
    call,
    request: 'r',
    id: 'i',
    bornAt: 0,
    service: 's',
    softwareVersion: 'v1',
    ageMs: 0,
  };
}

/** Waits until the replicas have received the origins of these calls. */
async function waitForOrigins(calls: string[]): Promise<void> {
  while (!calls.every(call => received.flat().includes(call))) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

it('stream origin client: an origin does not wait for an answer to the one before', async () => {
  const client = await start(1);
  ['c1', 'c2', 'c3'].forEach(call => client.broadcast([origin(call)]));
  await waitForOrigins(['c1', 'c2', 'c3']);
  expect(connections).to.have.length(1);
  client.stop();
});

it('stream origin client: a replica receives the recent origins again after the connection was lost', async () => {
  const client = await start(1);
  client.broadcast([origin('c1')]);
  await waitForOrigins(['c1']);
  const closed = new Promise(resolve => connections[0].once('close', resolve));
  connections[0].resetAndDestroy();
  await closed;
  while (!received.flat().includes('recent')) {
    client.broadcast([origin('c2')]);
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  client.stop();
});

const LOOKUP = {call: 'c1', service: 's'};
const RECENT = {recent: {observedMs: 1, versions: []}};

it('stream origin client: a lookup ends with the first replica that knows the stream', async () => {
  answers = [undefined, {evidence: RECENT}, {origin: origin('c1')}];
  const client = await start(3);
  const {origin: found} = await client.lookUp(LOOKUP);
  expect(found?.softwareVersion).to.equal('v1');
});

it('stream origin client: a lookup that no replica can answer gives what those that answered know', async () => {
  answers = [{evidence: RECENT}, {evidence: RECENT}, undefined];
  const client = await start(3);
  const {evidence, origin: found} = await client.lookUp(LOOKUP);
  expect(found).to.equal(undefined);
  expect([...evidence.values()]).to.deep.equal([RECENT, RECENT]);
});

it('stream origin client: a lookup does not wait for all replicas once a quorum has confirmed an answer', async () => {
  const confirmed = {versions: [], replicas: []};
  answers = [undefined, {evidence: {...RECENT, confirmed}}, undefined];
  const client = await start(3);
  const startedAt = performance.now();
  const {evidence} = await client.lookUp(LOOKUP);
  expect(evidence.size).to.equal(1);
  expect(performance.now() - startedAt).to.be.below(450);
});
