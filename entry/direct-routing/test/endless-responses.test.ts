import net from 'node:net';
import {Readable} from 'node:stream';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {
  AttemptSender,
  DirectRoutingMetrics,
  TargetClient,
  type WireFormat,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import {createRequestBody} from '@marigoldspur/request-bodies';

const WIRE_FORMAT = {
  parseResponseHeaders: () => ({
    matchesCallId: true,
    hasNotRun: true,
    isMisdirected: false,
  }),
} as unknown as WireFormat;

/** Response timeout of the calls; the bounds under test take effect earlier. */
const RESPONSE_HEADER_TIMEOUT_MS = 20_000;
/** Time within which the entry must close an endless response, in milliseconds. */
const CLOSE_WITHIN_MS = 5_000;

let server: net.Server;
let client: TargetClient;
/** Bytes that start the response to a request. */
let firstBytes: string;
/** Bytes that follow again and again until the connection is closed. */
let repeatedBytes: string;
let closed: Promise<void>;

beforeEach(done => {
  client = new TargetClient(WIRE_FORMAT);
  server = net.createServer(socket => {
    closed = new Promise(resolve => {
      socket.on('error', () => resolve());
      socket.on('close', () => resolve());
    });
    socket.once('data', () => {
      socket.write(firstBytes);
      const block = repeatedBytes.repeat(
        Math.ceil(1_024 / repeatedBytes.length),
      );
      Readable.from(repeat(block)).pipe(socket);
    });
  });
  server.listen(0, '127.0.0.1', done);
});

afterEach(() => {
  client.close();
  server.close();
});

function* repeat(block: string): Generator<Buffer> {
  for (;;) {
    yield Buffer.from(block);
  }
}

function send() {
  const {port} = server.address() as net.AddressInfo;
  return client.send({
    id: 'c',
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: () => ({}),
    isAwaited: () => true,
    body: createRequestBody(),
    signal: new AbortController().signal,
    responseHeaderTimeoutMs: RESPONSE_HEADER_TIMEOUT_MS,
  });
}

const ENDLESS_HEADS: ReadonlyArray<readonly [string, string, string]> = [
  ['blank lines', '\r\n', '\r\n'],
  ['interim responses', '', 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'],
  ['header lines', 'HTTP/1.1 200 OK\r\n', 'x-a: a\r\n'],
  ['one header line', 'HTTP/1.1 200 OK\r\nx-a: ', 'a'],
  ['one status line', 'HTTP/1.1 200 ', 'a'],
  ['bytes of another protocol', '\x16\x03\x01', 'a'],
];
for (const [name, first, repeated] of ENDLESS_HEADS) {
  it(`endless responses: a head of ${name} without end breaks the attempt and its connection`, async () => {
    [firstBytes, repeatedBytes] = [first, repeated];
    const startedAt = performance.now();
    const sent = await send();
    await closed;
    expect(performance.now() - startedAt).to.be.below(CLOSE_WITHIN_MS);
    expect(sent.isErr && sent.error.kind).to.equal('broken');
    expect(sent.isErr && sent.error.outcome).to.equal('unknown');
  });
}

const BODY_HEADS: ReadonlyArray<readonly [string, string, string]> = [
  ['chunks', 'transfer-encoding: chunked\r\n\r\n', '4\r\nbody\r\n'],
  ['bytes without a length', '\r\n', 'body'],
  ['more bytes than its length', 'content-length: 4\r\n\r\n', 'body'],
];
for (const [name, framing, repeated] of BODY_HEADS) {
  it(`endless responses: the connection of a rejection with ${name} without end is closed`, async () => {
    firstBytes = `HTTP/1.1 503 Service Unavailable\r\n${framing}`;
    repeatedBytes = repeated;
    const startedAt = performance.now();
    const sent = await send();
    if (sent.isErr) {
      throw new Error(sent.error.message);
    }
    const sender = new AttemptSender({
      events: new EventLog({process: 'test'}),
      metrics: new DirectRoutingMetrics(new Registry()),
    } as never);
    const call = {
      metadata: {id: 'c'},
      service: {name: 's'},
      fingerprint: () => 'f',
    };
    const attempt = {number: 1, target: {id: 't'}, sentAfterMs: 0};
    sender.handleRejection(call as never, attempt as never, sent.value);
    await closed;
    expect(performance.now() - startedAt).to.be.below(CLOSE_WITHIN_MS);
  });
}
