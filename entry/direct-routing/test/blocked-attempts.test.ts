import http from 'node:http';
import type {AddressInfo} from 'node:net';
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
    isAttested: true,
    hasNotRun: false,
    isMisdirected: false,
  }),
  targetHeaders: () => ({host: 'a'}),
} as unknown as WireFormat;
const EVENT = 'id: 1\ndata: one\n\n';

let server: http.Server;
let client: TargetClient;
let sender: AttemptSender;
let isBlocked: boolean;
/** What the target sends before it waits. */
let firstBytes: string | undefined;
let finish: () => void;
let received: Promise<void>;

beforeEach(async () => {
  isBlocked = false;
  let recordRequest = () => {};
  received = new Promise(resolve => (recordRequest = resolve));
  server = http.createServer((request, response) => {
    request.resume();
    finish = () => response.end();
    if (firstBytes !== undefined) {
      response.writeHead(200, {'content-type': 'text/event-stream'});
      response.flushHeaders();
      response.write(firstBytes);
    }
    recordRequest();
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  client = new TargetClient(WIRE_FORMAT);
  sender = new AttemptSender({
    finder: {versionFor: () => undefined},
    selector: {
      startCall: () => ({
        end: () => {},
        recordEvent: () => {},
        recordCompletion: () => {},
        recordBreak: () => {},
      }),
      recordFailure: () => false,
    },
    targetClient: client,
    agentClient: {startUse: () => () => {}},
    crashMonitor: {
      findBlock: () => (isBlocked ? {part: 'bad'} : undefined),
      recordBreak: () => {},
      recordCompletion: () => {},
    },
    requestCrashes: {findBlock: () => undefined, recordCompletion: () => {}},
    crashWitness: {probe: () => {}, recordResponse: () => {}},
    targetLimits: {recordResponse: () => {}},
    wireFormat: WIRE_FORMAT,
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as never);
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

function start() {
  const {port} = server.address() as AddressInfo;
  const call = {
    metadata: {id: 'c', work: {model: 'm', parts: [{id: 'bad', tokens: 1}]}},
    route: {streaming: true, timeoutMs: 60_000, priority: 0},
    service: {name: 's'},
    method: 'GET',
    path: '/',
    headers: {},
    body: createRequestBody(),
    fingerprint: () => 'f',
    startedAt: performance.now(),
    signal: new AbortController().signal,
  } as never;
  const target = {id: 't', bornAt: 0, address: `127.0.0.1:${port}`} as never;
  const attempt = sender.startAttempt(call, target, 1);
  return {call, attempt, sent: sender.send(call, attempt)};
}

function block(): void {
  isBlocked = true;
  sender.cancelBlocked();
}

it('blocked attempts: one that waits for its response is cancelled, with an open outcome', async () => {
  firstBytes = undefined;
  const {attempt, call, sent} = start();
  await received;
  block();
  const result = await sent;
  const failure = result.isErr ? result.error : undefined;
  expect(failure?.kind).to.equal('ended');
  expect(sender.handleFailure(call, attempt, failure!)).to.include({
    outcome: 'unknown',
    status: 502,
    reason: 'prompt_part_blocked',
  });
});

it('blocked attempts: a stream without an event is cancelled', async () => {
  firstBytes = 'id: 1\n';
  const {sent} = start();
  const {message, check} = (await sent).unwrapOr(undefined)!;
  await new Promise<void>(resolve => {
    message.on('data', (chunk: Buffer) => {
      check?.add(chunk);
      block();
    });
    message.on('error', () => {});
    message.on('close', resolve);
  });
  expect(message.complete).to.equal(false);
});

it('blocked attempts: a stream with an event goes on', async () => {
  firstBytes = EVENT;
  const {sent} = start();
  const {message, check} = (await sent).unwrapOr(undefined)!;
  await new Promise<void>(resolve => {
    message.on('data', (chunk: Buffer) => {
      check?.add(chunk);
      block();
      finish();
    });
    message.on('close', resolve);
  });
  expect(message.complete).to.equal(true);
});
