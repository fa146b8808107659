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
const LENGTH = 8;
const PART = 'part';

let server: http.Server;
let client: TargetClient;
/** Handles a response whose first part has been sent. */
let goOn: (response: http.ServerResponse) => void;

beforeEach(async () => {
  server = http.createServer((request, response) => {
    request.resume();
    response.on('error', () => {});
    response.writeHead(200, {'content-length': LENGTH});
    response.write(PART, () => goOn(response));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  client = new TargetClient(WIRE_FORMAT);
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

/** Sends a call and reads its response; returns what the tracker of its target learns of the end. */
async function follow(
  onPart: (caller: AbortController, message: http.IncomingMessage) => void,
): Promise<string[]> {
  const learned: string[] = [];
  const sender = new AttemptSender({
    finder: {versionFor: () => undefined},
    selector: {
      startCall: () => ({
        end: () => {},
        recordEvent: () => {},
        recordCompletion: () => learned.push('complete'),
        recordBreak: () => learned.push('broken'),
      }),
      recordFailure: () => false,
    },
    targetClient: client,
    agentClient: {startUse: () => () => {}},
    crashMonitor: {recordBreak: () => {}},
    requestCrashes: {recordCompletion: () => {}},
    crashWitness: {probe: () => {}, recordResponse: () => {}},
    targetLimits: {recordResponse: () => {}},
    wireFormat: WIRE_FORMAT,
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as never);
  const caller = new AbortController();
  const call = {
    metadata: {id: 'c'},
    route: {streaming: false, timeoutMs: 60_000, priority: 0},
    service: {name: 's'},
    method: 'GET',
    path: '/',
    headers: {},
    body: createRequestBody(),
    fingerprint: () => 'f',
    startedAt: performance.now(),
    signal: caller.signal,
  } as never;
  const {port} = server.address() as AddressInfo;
  const target = {id: 't', bornAt: 0, address: `127.0.0.1:${port}`} as never;
  const attempt = sender.startAttempt(call, target, 1);
  const sent = await sender.send(call, attempt);
  const {message, check} = sent.unwrapOr(undefined)!;
  await new Promise<void>(resolve => {
    message.on('data', (chunk: Buffer) => {
      check?.add(chunk);
      onPart(caller, message);
    });
    message.on('error', () => {});
    message.on('close', resolve);
  });
  return learned;
}

it('broken responses: a whole response is reported as complete', async () => {
  goOn = response => response.end(PART);
  expect(await follow(() => {})).to.deep.equal(['complete']);
});

it('broken responses: one that the target resets is reported as broken and teaches nothing', async () => {
  goOn = response => response.socket?.resetAndDestroy();
  expect(await follow(() => {})).to.deep.equal(['broken']);
});

it('broken responses: one that the caller cancels is neither complete nor the fault of its target', async () => {
  goOn = () => {};
  expect(await follow(caller => caller.abort())).to.deep.equal([]);
});

it('broken responses: one that the entry stops reading is neither complete nor the fault of its target', async () => {
  goOn = () => {};
  expect(await follow((_, message) => message.destroy())).to.deep.equal([]);
});
