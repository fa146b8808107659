import net from 'node:net';
import {expect} from 'chai';
import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'chart-api', kind: 'service', count: 1}],
  loadsPerSecond: 50,
} as const;
const SLOW_CALLERS = 50;
const BODY = 'tonnes=50000';
const PIECE_PAUSE_MS = 100;
/** The entry ends a request whose body has not come after 30 s. */
const TEST_TIMEOUT_MS = 120_000;

let system: System;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
  });
  await system.settled();
});

after(() => system?.stop());

it('slow bodies: a body that comes piece by piece runs once and whole', async () => {
  const caller = open(BODY.length);
  for (const piece of BODY) {
    caller.socket.write(piece);
    await new Promise(resolve => setTimeout(resolve, PIECE_PAUSE_MS));
  }
  expect(await caller.answered).to.match(/^HTTP\/1.1 200 /);
  expect(await runs()).to.deep.equal([BODY]);
}).timeout(TEST_TIMEOUT_MS);

it('slow bodies: those that never end are ended, not run, and harm no other caller', async () => {
  const before = await runs();
  const slow = Array.from({length: SLOW_CALLERS}, () => {
    const caller = open(BODY.length);
    caller.socket.write(BODY.slice(0, 1));
    return caller;
  });
  const other = open(BODY.length);
  other.socket.write(BODY);
  expect(await other.answered).to.match(/^HTTP\/1.1 200 /);
  const ends = await Promise.all(slow.map(({answered}) => answered));
  for (const end of ends) {
    expect(end).to.match(/^HTTP\/1.1 408 /);
    expect(end).to.include('"outcome":"not-run"');
  }
  expect(await runs()).to.deep.equal([...before, BODY]);
}).timeout(TEST_TIMEOUT_MS);

interface SlowCaller {
  readonly socket: net.Socket;
  /** Resolves with all that was answered once the connection ends. */
  readonly answered: Promise<string>;
}

/** Sends the head of a call and leaves the body to the test. */
function open(length: number): SlowCaller {
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

/** Bodies that the plain service ran. */
async function runs(): Promise<string[]> {
  const answer = await fetch(`${system.targets[0].url}/record`);
  return ((await answer.json()) as Array<{input: string}>).map(
    ({input}) => input,
  );
}
