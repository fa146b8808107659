import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {
  closeServer,
  createJsonHandler,
  exchangeJson,
  LineReader,
  listen,
} from '@marigoldspur/http-link';
import {MemoryBudget} from '@marigoldspur/memory-budget';
import {BodyReader} from '@marigoldspur/request-bodies';

const LOOPBACK = '127.0.0.1';
const MAX_BYTES = 1_000_000;
const LARGE = 'a'.repeat(600_000);

let budget: MemoryBudget;
let server: http.Server;
let url: URL;

beforeEach(async () => {
  budget = new MemoryBudget({
    limit: {maxBytes: () => MAX_BYTES},
    heapBytes: () => 0,
  });
  const handle = createJsonHandler({
    maxBodyBytes: MAX_BYTES,
    answer: async message => message,
    memory: {
      memory: budget,
      bodies: new BodyReader({budget, kind: 'message'}),
    },
  });
  server = http.createServer((request, response) => {
    void handle(request, response);
  });
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  url = new URL(`http://${LOOPBACK}:${port}/`);
});

afterEach(async () => {
  server.closeAllConnections();
  await closeServer(server);
});

function exchange(body: unknown): Promise<unknown> {
  return exchangeJson({
    url,
    body,
    agent: new http.Agent(),
    signal: AbortSignal.timeout(10_000),
    maxAnswerBytes: MAX_BYTES,
  });
}

it('message memory: a large message is refused as unavailable while memory is short, a small one is answered', async () => {
  const held = budget.reserve('other', 500_000);
  const refused = await exchange(LARGE).catch((thrown: unknown) => thrown);
  expect(refused).to.include({code: 'UNAVAILABLE'});
  expect(await exchange('small')).to.equal('small');
  held?.release();
  expect(await exchange(LARGE)).to.equal(LARGE);
});

it('message memory: messages and answers give their memory back', async () => {
  await exchange(LARGE);
  server.closeAllConnections();
  await closeServer(server);
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('message memory: an incomplete line takes its memory from the budget until it is complete', () => {
  const reader = new LineReader(MAX_BYTES, budget.reserve('message', 0));
  reader.push(Buffer.from(LARGE));
  expect(budget.occupancy.heldBytes).to.equal(LARGE.length);
  expect(reader.push(Buffer.from('\n'))).to.deep.equal([LARGE]);
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('message memory: a line that there is no memory for ends its reader', () => {
  budget.reserve('other', 500_000);
  const reader = new LineReader(MAX_BYTES, budget.reserve('message', 0));
  expect(() => reader.push(Buffer.from(LARGE))).to.throw('lacks the memory');
});

it('message memory: a line in tiny chunks takes little more memory than its bytes', () => {
  const reservation = budget.reserve('message', 0)!;
  const reader = new LineReader(MAX_BYTES, reservation);
  for (let index = 0; index < 100_000; index += 1) {
    reader.push(Buffer.from('a'));
  }
  expect(reservation.bytes).to.be.at.most(140_000);
});

it('message memory: senders that leave before their answer, in a row too, give all memory back', async () => {
  const answers: Array<() => void> = [];
  const isLeft = new Promise<void>(resolve => {
    server.removeAllListeners('request');
    const handle = createJsonHandler({
      maxBodyBytes: MAX_BYTES,
      answer: message =>
        new Promise(answer => {
          answers.push(() => answer(message));
          if (answers.length === 20) {
            resolve();
          }
        }),
      memory: {
        memory: budget,
        bodies: new BodyReader({budget, kind: 'message'}),
      },
    });
    server.on('request', (request, response) => void handle(request, response));
  });
  const closed = new Promise<void>(resolve =>
    server.once('connection', (socket: net.Socket) =>
      socket.once('close', () => resolve()),
    ),
  );
  const sender = net.connect(Number(url.port), LOOPBACK);
  sender.on('error', () => {});
  const post = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n"a"';
  sender.write(post.repeat(20));
  await isLeft;
  sender.resetAndDestroy();
  await closed;
  answers.forEach(answer => answer());
  await new Promise(resolve => setImmediate(resolve));
  expect(budget.occupancy.heldBytes).to.equal(0);
});
