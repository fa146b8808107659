import net from 'node:net';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'chart-api', kind: 'service', count: 1}],
  loadsPerSecond: 50,
} as const;
const SLOW_CALLERS = 50;
const BODY = 'tonnes=50000';
const BYTE_INTERVAL_MS = 100;
/** The entry ends a request whose body is incomplete after 30 s. */
const TEST_TIMEOUT_MS = 120_000;

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
  });
  await system.waitUntilSettled();
});

after(() => system?.stop());

it('slow bodies: a body that arrives byte by byte runs once and complete', async () => {
  const caller = openCall(BODY.length);
  for (const byte of BODY) {
    caller.socket.write(byte);
    await new Promise(resolve => setTimeout(resolve, BYTE_INTERVAL_MS));
  }
  expect(await caller.answered).to.match(/^HTTP\/1.1 200 /);
  expect(await fetchBodies()).to.deep.equal([BODY]);
}).timeout(TEST_TIMEOUT_MS);

it('slow bodies: requests with incomplete bodies time out, do not run and do not affect other callers', async () => {
  const bodiesBefore = await fetchBodies();
  const slow = Array.from({length: SLOW_CALLERS}, () => {
    const caller = openCall(BODY.length);
    caller.socket.write(BODY.slice(0, 1));
    return caller;
  });
  const other = openCall(BODY.length);
  other.socket.write(BODY);
  expect(await other.answered).to.match(/^HTTP\/1.1 200 /);
  const ends = await Promise.all(slow.map(({answered}) => answered));
  for (const end of ends) {
    expect(end).to.match(/^HTTP\/1.1 408 /);
    expect(end).to.include('"outcome":"not-run"');
  }
  expect(await fetchBodies()).to.deep.equal([...bodiesBefore, BODY]);
}).timeout(TEST_TIMEOUT_MS);

interface SlowCaller {
  readonly socket: net.Socket;
  /** Resolves to the whole response once the connection closes. */
  readonly answered: Promise<string>;
}

/** Sends the headers of a call; the test sends the body. */
function openCall(length: number): SlowCaller {
  const {hostname, port} = new URL(system.entryUrls[0]);
  const socket = net.connect(Number(port), hostname);
  socket.write(
    [
      'POST /chart-api/indication HTTP/1.1',
      'Host: entry',
      'Connection: close',
      `Content-Length: ${length}`,
      '\r\n',
    ].join('\r\n'),
  );
  let text = '';
  socket.on('data', data => (text += String(data)));
  socket.on('error', () => {});
  const answered = new Promise<string>(resolve =>
    socket.on('close', () => resolve(text)),
  );
  return {socket, answered};
}

/** Fetches the bodies that the plain service ran. */
async function fetchBodies(): Promise<string[]> {
  const answer = await fetch(`${system.targets[0].url}/record`);
  return ((await answer.json()) as Array<{input: string}>).map(
    ({input}) => input,
  );
}
