import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {CallerServer} from '@marigoldspur/caller-server';
import {listen, type Address} from '@marigoldspur/http-link';
import {MemoryBudget} from '@marigoldspur/memory-budget';

const LIMITS = {
  maxHeaderBytes: 16_384,
  headersTimeoutMs: 3_000,
  requestTimeoutMs: 10_000,
  idleTimeoutMs: 5_000,
};

let callerServer: CallerServer;
let address: Address;
/** Responses that were started and not ended. */
let running: http.ServerResponse[];
let mostRunning: number;
let onRequest: () => void;
/** Whether the heads of responses are sent at once. */
let sendsHeads: boolean;
let maxConnections: number | undefined;
/** Memory for the headers of requests, in bytes. */
let memoryBytes: number;
let isDraining: boolean;

beforeEach(async () => {
  running = [];
  mostRunning = 0;
  onRequest = () => {};
  sendsHeads = false;
  maxConnections = undefined;
  memoryBytes = Infinity;
  isDraining = false;
  callerServer = new CallerServer({
    handle: async (request, response) => {
      running.push(response);
      mostRunning = Math.max(mostRunning, running.length);
      response.setHeader('x-path', request.url ?? '');
      if (sendsHeads) {
        response.flushHeaders();
      }
      onRequest();
    },
    onFault: fault => {
      throw fault;
    },
    clock: {turns: 0, earliestArrival: now => now},
    isDraining: () => isDraining,
    createServer: http.createServer,
    limits: LIMITS,
    maxConnections: () => maxConnections,
    memory: new MemoryBudget({
      limit: {maxBytes: () => memoryBytes},
      heapBytes: () => 0,
    }),
  });
  address = await listen(callerServer.server, {host: '127.0.0.1', port: 0});
});

afterEach(() => {
  callerServer.server.closeAllConnections();
  callerServer.server.close();
});

/** Opens a connection; resolves to all that it brings until it closes, or until `isOver`. */
function exchange(
  text: string,
  isOver: (received: string) => boolean = () => false,
): Promise<string> {
  return new Promise(resolve => {
    let received = '';
    const socket = net.connect(address.port, address.host, () =>
      socket.write(text),
    );
    socket.on('data', piece => {
      received += piece.toString('latin1');
      if (isOver(received)) {
        socket.destroy();
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
  });
}

function pathsOf(received: string): string[] {
  return [...received.matchAll(/x-path: (\S+)/g)].map(([, path]) => path);
}

it('caller server: requests sent without waiting run a few at a time, all are answered in order', async () => {
  const paths = Array.from({length: 250}, (_, index) => `/${index}`);
  onRequest = () => setImmediate(() => running.shift()?.end());
  const received = await exchange(
    paths.map(path => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(''),
    text => pathsOf(text).length === paths.length,
  );
  expect(pathsOf(received)).to.deep.equal(paths);
  expect(mostRunning).to.be.at.most(32);
});

it('caller server: a request that is served late does not keep those of other connections waiting', async () => {
  const text = 'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(250);
  sendsHeads = true;
  const slow = net.connect(address.port, address.host, () => slow.write(text));
  await new Promise<void>(resolve => {
    onRequest = () => running.length === 32 && resolve();
  });
  onRequest = () => running.at(-1)?.end();
  const received = await exchange(
    'GET /other HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
  );
  slow.destroy();
  expect(pathsOf(received)).to.deep.equal(['/other']);
});

it('caller server: a new limit on headers holds for connections that are opened after it', async () => {
  onRequest = () => running.shift()?.end();
  const text = `GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx: ${'a'.repeat(9_000)}\r\n\r\n`;
  expect(await exchange(text)).to.contain('HTTP/1.1 200');
  callerServer.setLimits({...LIMITS, maxHeaderBytes: 4_000});
  expect(await exchange(text)).to.contain('HTTP/1.1 431');
});

it('caller server: connections beyond their maximum are closed at once if the others have brought requests', async () => {
  onRequest = () => running.shift()?.end();
  maxConnections = 1;
  callerServer.setLimits(LIMITS);
  const kept = net.connect(address.port, address.host);
  kept.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await new Promise(resolve => kept.once('data', resolve));
  const text = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';
  expect(await exchange(text)).to.equal('');
  kept.write(text);
  const [piece] = await once(kept, 'data');
  expect(String(piece)).to.contain('HTTP/1.1 200');
});

it('caller server: a connection without a complete request gives way to a new one', async () => {
  onRequest = () => running.shift()?.end();
  maxConnections = 2;
  callerServer.setLimits(LIMITS);
  const silent = net.connect(address.port, address.host);
  const partial = net.connect(address.port, address.host);
  await once(callerServer.server, 'connection');
  partial.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nb');
  await once(callerServer.server, 'request');
  const closed = once(silent, 'close');
  const text = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';
  expect(await exchange(text)).to.contain('HTTP/1.1 200');
  silent.resume();
  await closed;
  partial.destroy();
});

it('caller server: nothing behind a request refused for lack of memory runs', async () => {
  onRequest = () => running.shift()?.end();
  memoryBytes = 0;
  const received = await exchange(
    'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(100),
  );
  expect(received.match(/HTTP\/1\.1 503/g)?.length).to.equal(1);
  expect(received).to.contain('"not-run"');
  expect(mostRunning).to.equal(0);
});

it('caller server: a request whose fields are many brings all of them', async () => {
  let fieldCount = 0;
  callerServer.server.on('request', request => {
    fieldCount = Object.keys(request.headers).length;
  });
  onRequest = () => running.shift()?.end();
  const fields = Array.from({length: 1_900}, (_, i) => `${i.toString(36)}: b`);
  const received = await exchange(
    `GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n${fields.join('\r\n')}\r\n\r\n`,
  );
  expect(received).to.contain('HTTP/1.1 200');
  expect(fieldCount).to.equal(1_902);
});

it('caller server: requests beyond those that may wait are refused in their order, and the connection closes', async () => {
  const text = 'GET /many HTTP/1.1\r\nhost: a\r\n\r\n';
  sendsHeads = true;
  const ended = exchange(text.repeat(1_200));
  await new Promise<void>(resolve => {
    onRequest = () => running.length === 32 && resolve();
  });
  onRequest = () => setImmediate(() => running.shift()?.end());
  const other = exchange(
    'GET /other HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(60),
    received => pathsOf(received).length === 60,
  );
  for (const response of running.splice(0)) {
    response.end();
  }
  const received = await ended;
  expect(pathsOf(received).length).to.equal(32 + 256);
  expect(received.match(/HTTP\/1\.1 503/g)?.length).to.equal(1);
  expect(received.toLowerCase()).to.contain('\r\nretry-after: 1\r\n');
  expect(pathsOf(await other).length).to.equal(60);
});

// Guards against requests that run behind one whose response closes their connection.
it('caller server: nothing behind a request that comes during a shutdown runs', async () => {
  isDraining = true;
  onRequest = () => setImmediate(() => running.shift()?.end());
  const received = await exchange(
    'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(3),
  );
  expect(pathsOf(received)).to.deep.equal(['/a']);
  expect(mostRunning).to.equal(1);
});

// Guards against a request that runs and is not answered because the next one of its connection is late.
it('caller server: a late request behind one that runs closes their connection after the response', async () => {
  callerServer.setLimits({...LIMITS, headersTimeoutMs: 200});
  const ended = exchange(
    'GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\n',
  );
  await once(callerServer.server, 'clientError');
  running[0].end();
  expect(pathsOf(await ended)).to.deep.equal(['/a']);
});

const LARGE_BODY = Buffer.alloc(12_000_000, 'x');

/** Opens a connection that reads nothing until `resume`; `received` resolves to the number of bytes. */
function connectSlowReader(text: string) {
  const socket = net.connect(address.port, address.host);
  socket.pause();
  socket.write(text);
  let byteCount = 0;
  socket.on('data', piece => (byteCount += piece.length));
  socket.on('error', () => {});
  const received = new Promise<number>(resolve =>
    socket.on('close', () => resolve(byteCount)),
  );
  return {received, resume: () => socket.resume()};
}

for (const version of ['1.0', '1.1']) {
  // Guards against answers whose last bytes a planned stop drops because they were ended.
  it(`caller server: a slow reader with HTTP/${version} gets the whole of its answer in a planned stop`, async () => {
    const requested = new Promise<void>(resolve => (onRequest = resolve));
    const reader = connectSlowReader(
      `GET / HTTP/${version}\r\nhost: a\r\n\r\n`,
    );
    await requested;
    const head = new Promise<void>(resolve =>
      running[0].once('finish', resolve),
    );
    running[0].end(LARGE_BODY);
    const closed = callerServer.close();
    reader.resume();
    expect(await reader.received).to.be.above(LARGE_BODY.length);
    await Promise.all([closed, head]);
  });
}

it('caller server: a planned stop closes kept connections without a request, and lets a request that arrives end', async () => {
  onRequest = () => running.at(-1)!.end();
  const kept = net.connect(address.port, address.host);
  kept.write('GET /1 HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(kept, 'data');
  const partial = net.connect(address.port, address.host);
  partial.write('GET /2 HTTP/1.1\r\nhost: a\r\n\r\n');
  await once(partial, 'data');
  const sockets = [...running].map(({req}) => req.socket);
  partial.write('GET /3 HTTP/1.1\r\n');
  const bytesRead = sockets[1].bytesRead;
  while (sockets[1].bytesRead === bytesRead) {
    await new Promise(resolve => setImmediate(resolve));
  }
  const closed = callerServer.close();
  await once(kept, 'close');
  const answered = once(partial, 'data');
  partial.write('host: a\r\n\r\n');
  expect(String((await answered)[0])).to.include('x-path: /3');
  await closed;
});

// Guards against a request that runs and is not answered because of what comes behind it.
it('caller server: malformed bytes behind requests close their connection after the responses', async () => {
  const request = 'GET /a HTTP/1.1\r\nhost: a\r\n\r\n';
  sendsHeads = true;
  const ended = exchange(`${request.repeat(3)}\0\0${request}`);
  await new Promise<void>(resolve => {
    onRequest = () => running.length === 3 && resolve();
  });
  running.forEach(response => response.end());
  expect(pathsOf(await ended)).to.deep.equal(['/a', '/a', '/a']);
});

it('caller server: a request without waiting starts once the response before it keeps the connection', async () => {
  const received = exchange(
    'GET /a HTTP/1.1\r\nhost: a\r\n\r\nGET /b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
  );
  await once(callerServer.server, 'request');
  await new Promise(resolve => setImmediate(resolve));
  expect(running).to.have.length(1);
  running[0].write('a');
  expect(running).to.have.length(2);
  running[1].end();
  running[0].end();
  expect(pathsOf(await received)).to.deep.equal(['/a', '/b']);
});

/** Responses that close their connection, each for another reason. */
const LAST_RESPONSES: Readonly<
  Record<string, (response: http.ServerResponse) => void>
> = {
  'a header of the response': response =>
    response.writeHead(200, {connection: 'close', 'content-length': 0}),
  'a response without framing': response => {
    response.removeHeader('transfer-encoding');
    response.removeHeader('content-length');
  },
  'a header that is set before': response =>
    response.setHeader('connection', 'close'),
};

for (const [reason, prepare] of Object.entries(LAST_RESPONSES)) {
  // Guards against requests that run although their connection closes before their response.
  it(`caller server: nothing runs behind a response that closes its connection, for ${reason}`, async () => {
    onRequest = () => {
      const response = running.at(-1)!;
      prepare(response);
      response.end('a');
    };
    const received = await exchange(
      'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(3),
    );
    expect(pathsOf(received)).to.deep.equal(['/a']);
    expect(running).to.have.length(1);
  });
}
