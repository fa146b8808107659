import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {CallerServer} from '@marigoldspur/caller-server';
import {listen, type Address} from '@marigoldspur/http-link';

/** More than the buffers of a connection hold. */
const LARGE_BODY = Buffer.alloc(16_000_000, 'x');
const HEADERS_TIMEOUT_MS = 200;
const REQUEST = 'GET /one HTTP/1.1\r\nhost: a\r\n\r\n';

let callerServer: CallerServer;
let address: Address;
let caller: net.Socket;
/** What came back; the caller reads nothing while it is paused. */
let received: Buffer[];
let isClosed: Promise<unknown>;
let isDraining: boolean;

/** Starts a server whose handler gets each response, and a caller that sends `text`. */
async function start(
  text: string,
  handle: (response: http.ServerResponse) => void,
): Promise<void> {
  callerServer = new CallerServer({
    handle: async (_request, response) => handle(response),
    onFault: fault => {
      throw fault;
    },
    clock: {turns: 0, earliestArrival: now => now},
    isDraining: () => isDraining,
    createServer: http.createServer,
    limits: {
      maxHeaderBytes: 16_384,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: 10_000,
      idleTimeoutMs: 5_000,
    },
  });
  address = await listen(callerServer.server, {host: '127.0.0.1', port: 0});
  received = [];
  caller = net.connect(address.port, address.host);
  caller.on('data', bytes => received.push(bytes));
  caller.on('error', () => {});
  caller.pause();
  isClosed = once(caller, 'close');
  caller.write(text);
}

beforeEach(() => {
  isDraining = false;
});

afterEach(() => {
  caller.destroy();
  callerServer.server.closeAllConnections();
  callerServer.server.close();
});

/** The bytes of the body that came back. */
function receivedBody(): number {
  const bytes = Buffer.concat(received);
  return bytes.length - bytes.indexOf('\r\n\r\n') - '\r\n\r\n'.length;
}

// Guards against answers that are lost because their connection counts as idle before they are sent.
it('caller server: a shutdown sends what its callers have not read yet', async () => {
  await start(REQUEST, response => {
    response.writeHead(200, {'content-length': LARGE_BODY.length});
    response.end(LARGE_BODY);
  });
  await once(callerServer.server, 'request');
  const closed = callerServer.close();
  caller.resume();
  await Promise.race([
    isClosed,
    new Promise(resolve =>
      caller.on('data', () => {
        if (receivedBody() === LARGE_BODY.length) {
          resolve(undefined);
        }
      }),
    ),
  ]);
  expect(receivedBody()).to.equal(LARGE_BODY.length);
  await closed;
});

for (const [name, next] of [
  ['is malformed', 'no request\r\n\r\n'],
  ['is late', 'GET /two HTTP/1.1\r\nhost: a\r\n'],
] as const) {
  // Guards against a request that ran and gets no answer because of what its caller sent behind it.
  it(`caller server: a request that runs is answered although the next one of its connection ${name}`, async () => {
    let answer: () => void = () => {};
    await start(`${REQUEST}${next}`, response => {
      answer = () => response.end('done');
    });
    caller.resume();
    const [error] = await once(callerServer.server, 'clientError');
    expect(error).to.be.an('error');
    answer();
    await isClosed;
    expect(Buffer.concat(received).toString()).to.contain('done');
  });
}

// Guards against a request that runs behind the last answer of its connection.
it('caller server: during a shutdown nothing runs without an answer behind another request', async () => {
  isDraining = true;
  const responses: http.ServerResponse[] = [];
  await start(`${REQUEST}${REQUEST}`, response => {
    responses.push(response);
  });
  caller.resume();
  await once(callerServer.server, 'request');
  await new Promise(resolve => setImmediate(resolve));
  responses.forEach(response => response.end('done'));
  await isClosed;
  const answers = Buffer.concat(received).toString().split('done').length - 1;
  expect(answers).to.equal(responses.length);
});
