import http from 'node:http';
import net from 'node:net';
import type {AddressInfo} from 'node:net';
import {Result} from 'true-myth';
import {expect} from 'chai';
import {MemoryBudget} from '@marigoldspur/memory-budget';
import {
  BodyReader,
  discardRest,
  type BodyFailure,
  type RequestBody,
} from '@marigoldspur/request-bodies';

const MAX_BYTES = 1_000_000;

let budget: MemoryBudget;
let reader: BodyReader;
let server: http.Server;
let sockets: net.Socket[];

/** A request whose body is being read. */
interface Sender {
  readonly socket: net.Socket;
  readonly read: Promise<Result<RequestBody, BodyFailure>>;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

beforeEach(done => {
  sockets = [];
  budget = new MemoryBudget({
    limit: {maxBytes: () => MAX_BYTES},
    heapBytes: () => 0,
  });
  reader = new BodyReader({budget, kind: 'body'});
  server = http.createServer();
  server.listen(0, '127.0.0.1', done);
});

afterEach(() => {
  sockets.forEach(socket => socket.destroy());
  server.closeAllConnections();
  server.close();
});

/** Sends the head of a request and begins to read its body. */
async function send(
  framing: string,
  maxBytes = MAX_BYTES,
  signal?: AbortSignal,
): Promise<Sender> {
  const {port} = server.address() as AddressInfo;
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  sockets.push(socket);
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${framing}\r\n\r\n`);
  const [request, response] = await new Promise<
    [http.IncomingMessage, http.ServerResponse]
  >(resolve => server.once('request', (...pair) => resolve(pair)));
  const read = reader.read({request, maxBytes, signal});
  return {socket, request, response, read};
}

function codeOf(result: Result<RequestBody, BodyFailure>): string {
  return result.isErr ? result.error.code : 'read';
}

it('request bodies: a body in tiny chunks arrives whole and takes little more than its bytes', async () => {
  const {read, socket} = await send('transfer-encoding: chunked');
  const text = Array.from({length: 5_000}, (_, index) => index % 10).join('');
  for (const digit of text) {
    socket.write(`1\r\n${digit}\r\n`);
  }
  socket.write('0\r\n\r\n');
  const body = await read;
  if (body.isErr) {
    throw new Error(body.error.message);
  }
  expect(Buffer.concat(body.value.pieces).toString()).to.equal(text);
  expect(body.value.byteLength).to.equal(text.length);
  expect(body.value.pieces.length).to.be.at.most(4);
  expect(budget.occupancy.heldBytes).to.equal(text.length);
  body.value.release();
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('request bodies: a stated length is reserved before a byte of it is read', async () => {
  const first = await send('content-length: 700000');
  expect(budget.occupancy.heldBytes).to.equal(700_000);
  const second = await send('content-length: 700000');
  const refused = await second.read;
  expect(codeOf(refused)).to.equal('FULL');
  expect(refused.isErr && refused.error.retryAfterSeconds).to.be.greaterThan(0);
  first.socket.write(Buffer.alloc(700_000));
  expect(codeOf(await first.read)).to.equal('read');
});

it('request bodies: a body in chunks that outgrows a small one reserves what the largest takes', async () => {
  const {read, socket} = await send('transfer-encoding: chunked', 800_000);
  const piece = `4000\r\n${'a'.repeat(0x4000)}\r\n`;
  socket.write(piece.repeat(6));
  expect(codeOf(await read)).to.equal('FULL');
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('request bodies: a body that has stalled gives way to another one', async () => {
  const stalled = await send('content-length: 700000');
  reader.checkStalled();
  reader.checkStalled();
  const early = await send('content-length: 700000');
  expect(codeOf(await early.read)).to.equal('FULL');
  reader.checkStalled();
  const next = await send('content-length: 700000');
  expect(codeOf(await stalled.read)).to.equal('STALLED');
  next.socket.write(Buffer.alloc(700_000));
  expect(codeOf(await next.read)).to.equal('read');
});

it('request bodies: a body that ends early, is too large or is aborted gives its memory back', async () => {
  const torn = await send('content-length: 100');
  torn.socket.end('half');
  expect(codeOf(await torn.read)).to.equal('TORN');
  const large = await send('content-length: 2000', 1_000);
  expect(codeOf(await large.read)).to.equal('TOO_LARGE');
  const chunked = await send('transfer-encoding: chunked', 2);
  chunked.socket.write('3\r\nabc\r\n');
  expect(codeOf(await chunked.read)).to.equal('TOO_LARGE');
  const controller = new AbortController();
  const aborted = await send('content-length: 100', 1_000, controller.signal);
  controller.abort();
  expect(codeOf(await aborted.read)).to.equal('TORN');
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('request bodies: a refused sender that goes on sending reads its answer and uses its connection again', async () => {
  const {read, request, response, socket} = await send(
    'content-length: 900000',
  );
  expect(codeOf(await read)).to.equal('FULL');
  let received = '';
  const answered = new Promise<void>(resolve => {
    socket.on('data', piece => {
      received += piece.toString();
      if (received.includes('second answer')) {
        resolve();
      }
    });
  });
  discardRest(request);
  response.end('first answer');
  server.on('request', (_request, next) => next.end('second answer'));
  socket.write(Buffer.alloc(900_000));
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await answered;
  expect(received).to.contain('first answer');
});

it('request bodies: a released body keeps its memory until all that send it have ended', async () => {
  const {read, socket} = await send('content-length: 100');
  socket.write(Buffer.alloc(100));
  const body = await read;
  if (body.isErr) {
    throw new Error(body.error.message);
  }
  const endUse = body.value.use();
  body.value.release();
  body.value.release();
  expect(budget.occupancy.heldBytes).to.equal(100);
  endUse();
  expect(budget.occupancy.heldBytes).to.equal(0);
});

it('request bodies: stalled bodies that would not make enough room are not given up', async () => {
  const stalled = await send('content-length: 200000');
  budget.reserve('other', 500_000);
  [0, 1, 2].forEach(() => reader.checkStalled());
  const large = await send('content-length: 700000');
  expect(codeOf(await large.read)).to.equal('FULL');
  stalled.socket.write(Buffer.alloc(200_000));
  expect(codeOf(await stalled.read)).to.equal('read');
});
