import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {relayResponse, type StreamResumer} from '@marigoldspur/dispatch';
import {
  ResponseProgress,
  TargetClient,
  type WireFormat,
} from '@marigoldspur/direct-routing';
import {createRequestBody} from '@marigoldspur/request-bodies';

const HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n';
const WIRE_FORMAT = {
  parseResponseHeaders: () => ({
    matchesCallId: true,
    isAttested: true,
    hasNotRun: false,
    isMisdirected: false,
  }),
} as unknown as WireFormat;

interface Received {
  readonly bytes: string;
  /** Whether the caller's parser says that the whole response arrived. */
  readonly isWhole: boolean;
}

/**
 * Relays streams without a length that end with their connection: the first
 * body, and the next ones if the stream is resumed.
 */
async function relay(
  bodies: string[],
  isResumable: boolean,
): Promise<Received> {
  const target = net.createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(HEAD + (bodies.shift() ?? '')));
  });
  await listen(target);
  const client = new TargetClient(WIRE_FORMAT);
  const open = async () => {
    const sent = await client.send({
      id: 'c',
      address: `127.0.0.1:${portOf(target)}`,
      method: 'GET',
      path: '/',
      headers: () => ({}),
      isAwaited: () => true,
      body: createRequestBody(),
      signal: new AbortController().signal,
      responseHeaderTimeoutMs: 5_000,
    });
    const upstream = sent.unwrapOr(undefined)!;
    const check = new ResponseProgress(upstream, {
      isStream: true,
      onEnd: () => {},
    });
    return {...upstream, check};
  };
  const resumer: StreamResumer = {
    reopen: () => (bodies.length > 0 ? open() : Promise.resolve(undefined)),
    cancel: () => {},
  };
  const entry = http.createServer(async (_request, response) => {
    await relayResponse(await open(), response, {
      headers: {},
      maxBufferedBytes: 0,
      endsWithDone: false,
      maxStoredBytes: 0,
      outlivesCaller: false,
      signal: new AbortController().signal,
      createCheck: () => {
        throw new Error('the response brings its own check');
      },
      resumer: isResumable ? resumer : undefined,
    });
    response.socket?.destroySoon();
  });
  await listen(entry);
  const received = await readAll(portOf(entry));
  client.close();
  target.close();
  entry.close();
  return received;
}

function listen(server: net.Server): Promise<void> {
  return new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
}

function portOf(server: net.Server): number {
  return (server.address() as net.AddressInfo).port;
}

function readAll(port: number): Promise<Received> {
  return new Promise(resolve => {
    let bytes = '';
    const lost = () => resolve({bytes, isWhole: false});
    const request = http.get({port, agent: false}, response => {
      response.on('data', piece => (bytes += piece.toString()));
      response.on('error', () => {});
      response.on('close', () => resolve({bytes, isWhole: response.complete}));
    });
    request.on('error', lost);
  });
}

const FIRST_EVENT = 'id: 1\ndata: one\n\n';
const SECOND_EVENT = 'id: 2\ndata: two\n\n';

it('unframed streams: one that ends with an event is whole', async () => {
  const {bytes, isWhole} = await relay([FIRST_EVENT + SECOND_EVENT], false);
  expect(isWhole).to.equal(true);
  expect(bytes).to.contain(FIRST_EVENT + SECOND_EVENT);
});

it('unframed streams: one that ends inside an event does not look whole to the caller', async () => {
  const {isWhole} = await relay([`${FIRST_EVENT}id: 2\ndata: ha`], false);
  expect(isWhole).to.equal(false);
});

it('unframed streams: one that ends between the lines of an event does not look whole', async () => {
  const {isWhole} = await relay([`${FIRST_EVENT}id: 2\ndata: two\n`], false);
  expect(isWhole).to.equal(false);
});

it('unframed streams: one that ends without an event does not look whole', async () => {
  const {isWhole} = await relay([''], false);
  expect(isWhole).to.equal(false);
});

it('unframed streams: one that ends inside an event is resumed after the last whole one', async () => {
  const bodies = [`${FIRST_EVENT}id: 2\ndata: ha`, SECOND_EVENT];
  const {bytes, isWhole} = await relay(bodies, true);
  expect(isWhole).to.equal(true);
  expect(bytes).to.contain(FIRST_EVENT + SECOND_EVENT);
});
