import http from 'node:http';
import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [
    {service: 'booking', kind: 'service', count: 1},
    {service: 'lookup', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;
const SERVICES = ['booking', 'lookup'];
const SETTLE_MS = 2_000;
const DRAIN_MS = 1_000;
const CALL_MS = 1_800;
const CALL_INTERVAL_MS = 50;
const WARM_UP_CALLS = 12;
const TEST_TIMEOUT_MS = 60_000;

let system: System;

/** How a call ended: its status, `cut` if its connection ended without a whole response, or `unread` if no connection was left for it. */
interface EndedCall {
  readonly id: string;
  readonly end: number | 'cut' | 'unread';
}

function send(
  service: string,
  id: string,
  agent: http.Agent,
  headers: http.OutgoingHttpHeaders = {},
): Promise<EndedCall> {
  return new Promise(resolve => {
    const request = http.request(
      new URL(`/${service}/x`, system.entryUrls[0]),
      {
        method: 'POST',
        agent,
        headers,
      },
    );
    request.on('error', error =>
      resolve({
        id,
        end: error.message.includes('ECONNREFUSED') ? 'unread' : 'cut',
      }),
    );
    request.on('response', response => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () =>
        resolve({
          id,
          end: response.complete ? (response.statusCode ?? 0) : 'cut',
        }),
      );
    });
    request.end(id);
  });
}

/** Sends a call whose body arrives slowly; resolves to the first line of the response. */
function sendSlowly(id: string, bodyMs: number): Promise<string> {
  const {hostname, port} = new URL(system.entryUrls[0]);
  return new Promise(resolve => {
    let text = '';
    const socket = net.connect(Number(port), hostname, async () => {
      socket.write(
        `POST /booking/x HTTP/1.1\r\nhost: entry\r\ncontent-length: ${id.length}\r\n\r\n${id[0]}`,
      );
      await pause(bodyMs);
      socket.write(id.slice(1));
    });
    socket.on('data', piece => (text += piece.toString()));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text.split('\r\n')[0]));
  });
}

/** Fetches the bodies of the calls that reached a target. */
async function fetchReached(): Promise<Set<string>> {
  const records = await Promise.all(
    system.targets.map(async ({url}) => {
      const answer = await fetch(`${url}/record`);
      return (await answer.json()) as Array<{input: string}>;
    }),
  );
  return new Set(records.flat().map(({input}) => input));
}

async function setCallMs(callMs: number): Promise<void> {
  for (const {url} of system.targets) {
    await fetch(`${url}/faults`, {
      method: 'POST',
      body: JSON.stringify({slowMs: callMs}),
    });
  }
}

beforeEach(async function () {
  this.timeout(TEST_TIMEOUT_MS);
  const tree = createDeploymentTree([DEPLOYMENT], 1);
  tree.customers['callao'].services['lookup'].settings = {repeatable: true};
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree,
    controls: 1,
    entries: 1,
    entryFlags: [
      ...['--settle-ms', String(SETTLE_MS)],
      ...['--drain-ms', String(DRAIN_MS)],
    ],
  });
  await system.waitUntilSettled();
});

afterEach(() => system?.stop());

for (const [kind, createAgent] of [
  ['new', () => new http.Agent()],
  ['kept', () => new http.Agent({keepAlive: true, maxSockets: 200})],
] as const) {
  it(`late in the drain: calls on ${kind} connections are answered, and those that may not be repeated are sent only if they can end`, async () => {
    await setCallMs(CALL_MS);
    const agent = createAgent();
    const warmUp = SERVICES.flatMap(service =>
      Array.from({length: WARM_UP_CALLS}, (_, index) =>
        send(service, `${service}-warm-${index}`, agent),
      ),
    );
    await Promise.all(warmUp);
    const [entry] = system.entries;
    let isRunning = true;
    void entry.ended.then(() => (isRunning = false));
    entry.signal('SIGTERM');
    const calls: Array<Promise<EndedCall>> = [];
    for (let index = 0; isRunning; index += 1) {
      calls.push(
        ...SERVICES.map(service => send(service, `${service}-${index}`, agent)),
      );
      await pause(CALL_INTERVAL_MS);
    }
    const ended = await Promise.all(calls);
    const reached = await fetchReached();
    const ids = (matches: (call: EndedCall) => boolean) =>
      ended.filter(call => matches(call)).map(({id}) => id);
    expect(ids(({end, id}) => end === 'cut' && reached.has(id))).to.deep.equal(
      [],
    );
    expect(
      ids(
        ({end, id}) =>
          id.startsWith('booking') && Number(end) >= 500 && reached.has(id),
      ),
    ).to.deep.equal([]);
    expect(ids(({end}) => end === 503)).to.not.deep.equal([]);
    expect(ids(({end}) => end === 200)).to.not.deep.equal([]);
    agent.destroy();
  }).timeout(TEST_TIMEOUT_MS);
}

it('late in the drain: a call whose body arrives late is refused and never sent', async () => {
  const [entry] = system.entries;
  entry.signal('SIGTERM');
  const late = sendSlowly('late', SETTLE_MS + 300);
  const endless = sendSlowly('endless', 60_000);
  expect(await late).to.contain(' 503 ');
  expect(await endless).to.contain(' 503 ');
  expect([...(await fetchReached())]).to.not.include('late');
  await entry.ended;
}).timeout(TEST_TIMEOUT_MS);

it('late in the drain: calls that cannot end in time are answered before the process ends', async () => {
  await setCallMs(30_000);
  const agent = new http.Agent({keepAlive: true});
  const calls = [
    ...SERVICES.map(service => send(service, service, agent)),
    send('booking', 'keyed', agent, {'idempotency-key': 'key-1'}),
  ];
  while ((await fetchReached()).size < calls.length) {
    await pause(CALL_INTERVAL_MS);
  }
  system.entries[0].signal('SIGTERM');
  const ended = await Promise.all(calls);
  expect(ended.map(({end}) => end)).to.deep.equal([502, 502, 502]);
  agent.destroy();
}).timeout(TEST_TIMEOUT_MS);
