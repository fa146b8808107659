import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {closeServerWithin, listen} from '@marigoldspur/http-link';

const LARGE_BODY = Buffer.alloc(12_000_000, 'x');
const CALLS_MS = 50;

let server: http.Server;
let address: {host: string; port: number};

beforeEach(async () => {
  server = http.createServer((request, response) => {
    if (request.url === '/large') {
      response.end(LARGE_BODY);
    }
  });
  address = await listen(server, {host: '127.0.0.1', port: 0});
});

afterEach(() => server.closeAllConnections());

/** Opens a connection that reads nothing yet. */
async function connect(text = ''): Promise<net.Socket> {
  const socket = net.connect(address.port, address.host);
  socket.pause();
  socket.on('error', () => {});
  await once(socket, 'connect');
  if (text !== '') {
    const requested = once(server, 'request');
    socket.write(text);
    await requested;
  }
  return socket;
}

// Guards against answers of an interface that are cut since its stop waits for a second alone.
it('close server: after the time for calls, connections that send the rest of a response stay open', async () => {
  const silent = await connect();
  const unanswered = await connect('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  const slow = await connect('GET /large HTTP/1.0\r\n\r\n');
  const closed = closeServerWithin(server, {
    callsMs: CALLS_MS,
    sendsMs: 60_000,
  });
  silent.resume();
  unanswered.resume();
  await Promise.all([once(silent, 'close'), once(unanswered, 'close')]);
  let received = 0;
  slow.on('data', piece => (received += piece.length));
  slow.resume();
  await once(slow, 'close');
  expect(received).to.be.above(LARGE_BODY.length);
  await closed;
});

it('close server: after the time for sending, all connections close', async () => {
  const slow = await connect('GET /large HTTP/1.1\r\nhost: a\r\n\r\n');
  await closeServerWithin(server, {callsMs: 0, sendsMs: CALLS_MS});
  slow.destroy();
});

// Guards against a line of standard error for each connection with requests in a row.
it('close server: requests in a row on one connection print no warning', async () => {
  const warnings: string[] = [];
  const record = ({message}: Error) => warnings.push(message);
  process.on('warning', record);
  const socket = await connect('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(32));
  await new Promise(resolve => setImmediate(resolve));
  process.off('warning', record);
  socket.destroy();
  expect(warnings).to.deep.equal([]);
});
