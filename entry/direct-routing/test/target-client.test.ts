import net from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {FramingCheck} from '@marigoldspur/dispatch';
import {
  TargetClient,
  type TargetCall,
  type WireFormat,
} from '@marigoldspur/direct-routing';
import {createRequestBody} from '@marigoldspur/request-bodies';

const WIRE_FORMAT = {
  parseResponseHeaders: ({headers}, id) => ({
    matchesCallId: headers['call-id'] === id,
    isAttested: true,
    hasNotRun: headers['not-run'] !== undefined,
    isMisdirected: false,
  }),
} as WireFormat;

/** A piece of a response that resets the connection instead. */
const RESET = 'reset';
/** Resets the connection together with the piece before. */
const RESET_AT_ONCE = 'reset at once';
let server: net.Server;
/** Pieces of the response to each request, in the order of the requests. */
let scriptedResponses: string[][];
let connections = 0;
let sockets: net.Socket[] = [];
/** IDs of the calls that arrived. */
let received: string[] = [];
let port = 0;

beforeEach(done => {
  connections = 0;
  sockets = [];
  received = [];
  server = net.createServer(socket => {
    connections += 1;
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', bytes => {
      received.push(/^call-id: (.*)\r$/m.exec(bytes.toString())?.[1] ?? '');
      void writePieces(socket, scriptedResponses.shift() ?? []);
    });
  });
  server.listen(0, '127.0.0.1', () => {
    ({port} = server.address() as net.AddressInfo);
    done();
  });
});

afterEach(() => {
  server.close();
});

async function writePieces(
  socket: net.Socket,
  pieces: string[],
): Promise<void> {
  for (const piece of pieces) {
    if (piece === RESET) {
      socket.resetAndDestroy();
    } else if (pieces[1] === RESET_AT_ONCE) {
      // Without the second call, an ordinary end may come first.
      socket.write(piece, () => socket.resetAndDestroy().destroy());
      return;
    } else {
      socket.write(piece);
    }
    await pause(20);
  }
}

function send(
  client: TargetClient,
  id: string,
  changes: Partial<TargetCall> = {},
) {
  return client.send({
    id,
    address: `127.0.0.1:${port}`,
    method: 'GET',
    path: '/',
    headers: () => ({'call-id': id}),
    isAwaited: () => true,
    body: createRequestBody(),
    signal: new AbortController().signal,
    responseHeaderTimeoutMs: 2_000,
    ...changes,
  });
}

/** Reads a response to its end; returns whether it is complete. */
async function isReadCompletely(
  client: TargetClient,
  id: string,
): Promise<boolean> {
  const sent = await send(client, id);
  if (sent.isErr) {
    return false;
  }
  const {message} = sent.value;
  message.on('error', () => {});
  message.resume();
  const check = new FramingCheck(sent.value);
  let wasComplete = false;
  message.on('end', () => (wasComplete = check.isComplete()));
  await new Promise(resolve => message.on('close', resolve));
  return wasComplete || check.isComplete();
}

function head(id: string, ...more: string[]): string {
  return ['HTTP/1.1 200 OK', `call-id: ${id}`, ...more, '', ''].join('\r\n');
}

it('target client: a response without a length is incomplete after a reset', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [[head('one'), 'half of it', RESET]];
  expect(await isReadCompletely(client, 'one')).to.equal(false);
  client.close();
});

// Guards against a reset that libuv reports as an ordinary end.
it('target client: a response without a length is incomplete after a reset that comes with its bytes', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  for (const bytes of [4, 100_000]) {
    for (let round = 0; round < 10; round += 1) {
      scriptedResponses = [[head('a') + 'x'.repeat(bytes), RESET_AT_ONCE]];
      expect(await isReadCompletely(client, 'a'), `${bytes}`).to.equal(false);
    }
  }
  client.close();
});

it('target client: a response of the stated length is complete', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [[`${head('one', 'content-length: 4')}body`]];
  expect(await isReadCompletely(client, 'one')).to.equal(true);
  client.close();
});

it('target client: a truncated response is incomplete', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [[`${head('one', 'content-length: 40')}body`, RESET]];
  expect(await isReadCompletely(client, 'one')).to.equal(false);
  client.close();
});

it('target client: a response to another call is rejected with an unknown outcome', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [[`${head('other', 'content-length: 4')}body`]];
  const sent = await send(client, 'one');
  expect(sent.isErr && sent.error.kind).to.equal('crossed');
  expect(sent.isErr && sent.error.outcome).to.equal('unknown');
  client.close();
});

it('target client: a connection with an unexpected response is not reused', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  const whole = (id: string) => `${head(id, 'content-length: 4')}body`;
  scriptedResponses = [[whole('one'), whole('stray')], [whole('two')]];
  expect(await isReadCompletely(client, 'one')).to.equal(true);
  await pause(60);
  expect(await isReadCompletely(client, 'two')).to.equal(true);
  expect(connections).to.equal(2);
  client.close();
});

// Guards against a process that ends because a header or an address cannot be sent.
it('target client: a call that cannot be sent to its target has not run', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  const invalid = [
    {headers: () => ({'target-id': 'i\u0001'})},
    {headers: () => ({'x y': 'z'})},
    {path: '/a b'},
    {address: '127.0.0.1:99999'},
  ];
  for (const changes of invalid) {
    const sent = await send(client, 'one', changes);
    expect(sent.isErr && sent.error.kind).to.equal('invalid');
    expect(sent.isErr && sent.error.outcome).to.equal('not-run');
  }
  client.close();
});

// Guards against a process that ends when it forwards such a head.
// Guards against a call that never ends, since Node.js reports no error.
it('target client: a response that switches protocols is broken and may have run', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [
    ['HTTP/1.1 101 OK\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'],
  ];
  const sent = await send(client, 'a');
  expect(sent.isErr && sent.error).to.include({
    kind: 'broken',
    outcome: 'unknown',
  });
  client.close();
});

it('target client: a response whose head cannot be forwarded is broken and may have run', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  const heads = [
    head('one').replace('200', '000'),
    head('one').replace('200', '099'),
    head('one').replace('200', '600'),
    head('one', 'content-length: 4', 'x y: z'),
    head('one', 'content-length: 4', 'content-length: 5'),
    head('one', 'content-length: 4', 'transfer-encoding: chunked'),
    head('one', 'upgrade: h2c').replace('200', '101'),
  ];
  for (const text of heads) {
    scriptedResponses = [[`${text}body`]];
    const sent = await send(client, 'one');
    expect(sent.isErr && sent.error.kind, text).to.equal('broken');
    expect(sent.isErr && sent.error.outcome, text).to.equal('unknown');
  }
  client.close();
});

const refusal = (id: string) => head(id, 'not-run: 1', 'content-length: 0');

/** Sends a call that is refused, and reads the refusal; its connection is kept. */
async function sendRefused(client: TargetClient, id: string): Promise<void> {
  await readRefusal(client, id);
  await pause(40);
}

async function readRefusal(client: TargetClient, id: string): Promise<void> {
  const sent = await send(client, id);
  const {message, metadata} = sent.unwrapOr(undefined)!;
  expect(metadata.hasNotRun).to.equal(true);
  message.resume();
  await new Promise(resolve => message.on('close', resolve));
}

// Guards against "not run" for a call that runs, or a second run of it elsewhere.
for (const id of ['one', 'two']) {
  it(`target client: a refusal that comes again before call "${id}" is sent is not its answer`, async () => {
    const client = new TargetClient(WIRE_FORMAT);
    scriptedResponses = [[refusal('one')], [`${head(id)}body`]];
    await sendRefused(client, 'one');
    // The copy has arrived, and is read only after the call has got the connection.
    sockets[0].write(refusal('one'));
    const sent = await send(client, id);
    expect(sent.isErr || !sent.value.metadata.hasNotRun).to.equal(true);
    if (sent.isErr) {
      expect(sent.error).to.include({kind: 'crossed', outcome: 'not-run'});
      await pause(60);
      expect(received).to.deep.equal(['one']);
    }
    client.close();
  });

  it(`target client: a refusal that comes again after call "${id}" was sent is not its answer`, async () => {
    const client = new TargetClient(WIRE_FORMAT);
    const body = `${head(id, 'content-length: 4')}body`;
    scriptedResponses = [[refusal('one')], [refusal('one') + body]];
    await sendRefused(client, 'one');
    const sent = await send(client, id);
    const isRefused = sent.isOk && sent.value.metadata.hasNotRun;
    expect(isRefused && connections === 1).to.equal(false);
    expect(sent.isErr && sent.error.outcome === 'not-run').to.equal(false);
    client.close();
  });
}

it('target client: a connection that brought many refusals is not kept', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  const count = 300;
  scriptedResponses = Array.from({length: count}, (_, index) => [
    refusal(`c${index}`),
  ]);
  for (let index = 0; index < count; index += 1) {
    await readRefusal(client, `c${index}`);
  }
  expect(connections).to.be.within(2, 10);
  client.close();
});

it('target client: a refused connection proves that nothing ran', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  server.close();
  const sent = await send(client, 'one');
  expect(sent.isErr && sent.error.outcome).to.equal('not-run');
  client.close();
});

it('target client: a body that the target leaves unread after its response is dropped with its connection', async () => {
  const client = new TargetClient(WIRE_FORMAT);
  scriptedResponses = [[`${head('one', 'content-length: 4')}body`]];
  server.once('connection', socket =>
    socket.once('data', () => socket.pause()),
  );
  const pieces = Array<Buffer>(256).fill(Buffer.alloc(65_536));
  const ended = new Promise<void>(resolve => {
    const body = {pieces, use: () => resolve};
    const headers = () => ({'call-id': 'one', 'content-length': 16_777_216});
    void send(client, 'one', {method: 'POST', body, headers}).then(sent =>
      sent.map(({message}) => message.resume()),
    );
  });
  await ended;
  expect(received).to.deep.equal(['one']);
  client.close();
});
