import net from 'node:net';
import {expect} from 'chai';
import {freePorts} from '@marigoldspur/lab';
import {CutNetwork, type Cut} from '../src/cut-network.js';

const NAMES = ['entry-0', 'lm-desk-0-agent', 'control-0'];
const INSIDE = new Set(['entry-0', 'lm-desk-0-agent']);
const BOTH_WAYS: Cut = {inside: INSIDE, inward: true, outward: true};

let network: CutNetwork;
let servers: net.Server[];
let ports: number[];
let heard: Map<string, string[]>;

beforeEach(async () => {
  ports = await freePorts(NAMES.length);
  heard = new Map(NAMES.map(name => [name, []]));
  servers = await Promise.all(
    NAMES.map((name, index) => echoServer(name, ports[index])),
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

it('cut network: a cut zone hears nobody else, but itself', async () => {
  const mend = network.cut({...BOTH_WAYS, inside: network.namesIn('lima-a')});
  const answers = [
    answer('entry-0', 'control-0'),
    answer('control-0', 'entry-0'),
  ];
  const inZone = await answer('entry-0', 'lm-desk-0-agent');
  expect(inZone).to.equal('lm-desk-0-agent');
  expect(heard.get('control-0')).to.deep.equal([]);
  expect(heard.get('entry-0')).to.deep.equal([]);
  mend();
  expect(await Promise.all(answers)).to.deep.equal(['control-0', 'entry-0']);
});

it('cut network: a cut of one way lets the other pass', async () => {
  const mend = network.cut({...BOTH_WAYS, outward: false});
  const answered = answer('entry-0', 'control-0');
  await until(() => heard.get('control-0')!.length > 0);
  expect(heard.get('entry-0')).to.deep.equal([]);
  mend();
  expect(await answered).to.equal('control-0');
});

it('cut network: a link stays cut until each of its cuts is mended', async () => {
  const first = network.cut(BOTH_WAYS);
  const second = network.cut({...BOTH_WAYS, inside: new Set(['control-0'])});
  const answered = answer('entry-0', 'control-0');
  first();
  await answer('entry-0', 'lm-desk-0-agent');
  expect(heard.get('control-0')).to.deep.equal([]);
  second();
  expect(await answered).to.equal('control-0');
});

/** A server that notes who called and answers with its own name. */
function echoServer(name: string, port: number): Promise<net.Server> {
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', caller => {
      heard.get(name)!.push(String(caller));
      socket.end(name);
    });
  });
  return new Promise(resolve =>
    server.listen(port, '127.0.0.1', () => resolve(server)),
  );
}

/** Calls one process from another over the network; resolves with the answer. */
function answer(from: string, to: string): Promise<string> {
  const {MARIGOLDSPUR_LAB_REDIRECT} = network.variables(from);
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

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise(resolve => setImmediate(resolve));
  }
}
