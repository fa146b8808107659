import net from 'node:net';
import {expect} from 'chai';
import {findFreePorts} from '@marigoldspur/lab';
import {CutNetwork, type Cut} from '../src/cut-network.js';

const NAMES = ['entry-0', 'lm-desk-0-agent', 'control-0'];
const INSIDE = new Set(['entry-0', 'lm-desk-0-agent']);
const BOTH_WAYS: Cut = {
  inside: INSIDE,
  blocksInward: true,
  blocksOutward: true,
};

let network: CutNetwork;
let servers: net.Server[];
let ports: number[];
let received: Map<string, string[]>;

beforeEach(async () => {
  ports = await findFreePorts(NAMES.length);
  received = new Map(NAMES.map(name => [name, []]));
  servers = await Promise.all(
    NAMES.map((name, index) => startServer(name, ports[index])),
  );
  network = new CutNetwork();
  await network.open(
    NAMES.map((name, index) => ({
      name,
      zone: INSIDE.has(name) ? 'lima-a' : 'lima-b',
      port: ports[index],
    })),
  );
});

afterEach(async () => {
  await network.close();
  servers.forEach(server => server.close());
});

it('cut network: processes in a cut zone reach each other but no other process', async () => {
  const restore = network.cut({
    ...BOTH_WAYS,
    inside: network.processesInZone('lima-a'),
  });
  const pending = [
    callProcess('entry-0', 'control-0'),
    callProcess('control-0', 'entry-0'),
  ];
  const inZone = await callProcess('entry-0', 'lm-desk-0-agent');
  expect(inZone).to.equal('lm-desk-0-agent');
  expect(received.get('control-0')).to.deep.equal([]);
  expect(received.get('entry-0')).to.deep.equal([]);
  restore();
  expect(await Promise.all(pending)).to.deep.equal(['control-0', 'entry-0']);
});

it('cut network: a cut in one direction leaves the other direction open', async () => {
  const restore = network.cut({...BOTH_WAYS, blocksOutward: false});
  const answer = callProcess('entry-0', 'control-0');
  await waitUntil(() => received.get('control-0')!.length > 0);
  expect(received.get('entry-0')).to.deep.equal([]);
  restore();
  expect(await answer).to.equal('control-0');
});

it('cut network: a link stays cut until all of its cuts are removed', async () => {
  const removeFirst = network.cut(BOTH_WAYS);
  const removeSecond = network.cut({
    ...BOTH_WAYS,
    inside: new Set(['control-0']),
  });
  const answer = callProcess('entry-0', 'control-0');
  removeFirst();
  await callProcess('entry-0', 'lm-desk-0-agent');
  expect(received.get('control-0')).to.deep.equal([]);
  removeSecond();
  expect(await answer).to.equal('control-0');
});

/** Starts a server that records the names of its callers and answers with its own name. */
function startServer(name: string, port: number): Promise<net.Server> {
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', caller => {
      received.get(name)!.push(String(caller));
      socket.end(name);
    });
  });
  return new Promise(resolve =>
    server.listen(port, '127.0.0.1', () => resolve(server)),
  );
}

/** Calls one process from another over the network; resolves to its reply. */
function callProcess(from: string, to: string): Promise<string> {
  const {MARIGOLDSPUR_LAB_REDIRECT} = network.createVariables(from);
  const redirected = JSON.parse(MARIGOLDSPUR_LAB_REDIRECT!) as Record<
    string,
    number
  >;
  const socket = net.connect(redirected[ports[NAMES.indexOf(to)]], '127.0.0.1');
  socket.write(from);
  return new Promise((resolve, reject) => {
    socket.on('data', data => resolve(String(data)));
    socket.on('error', reject);
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
