import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {Deployment} from '@marigoldspur/deployment';
import {
  CallHandler,
  DirectRoutingMetrics,
  type CallHandlerOptions,
  type CallRunner,
  type WireFormat,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import type {Refusal} from '@marigoldspur/faults';
import {MemoryBudget} from '@marigoldspur/memory-budget';
import {BodyReader} from '@marigoldspur/request-bodies';
import {RouteTable} from '@marigoldspur/routes';

const DEPLOYMENT: Deployment = {
  revision: 1,
  routes: [
    {
      name: 'r',
      host: 'a.example',
      pathPrefix: '/x/',
      streaming: false,
      idempotent: true,
      timeoutMs: 1_000,
      latencyObjectiveMs: 100,
      priority: 1,
      maxAttempts: 1,
      backends: [{service: 's', weight: 1}],
    },
  ],
  services: [{name: 's', healthPath: '/', maxConnections: 1}],
  limits: {
    maxHeaderBytes: 1_000,
    maxBodyBytes: 10,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  },
};
const WIRE_FORMAT = {
  parseCallHeaders: () => ({id: 'c1'}),
  refusalHeaders: (_id: string, {retryAfterSeconds}: Refusal) => ({
    ...(retryAfterSeconds !== undefined && {'retry-after': retryAfterSeconds}),
  }),
} as unknown as WireFormat;

let server: http.Server | undefined;
let budget: MemoryBudget;

beforeEach(() => {
  budget = createBudget(1_000_000);
});

afterEach(() => server?.close());

/**
 * Sends one call to a handler; returns the status and the retry delay of the
 * response, and whether the call was run.
 */
async function call(
  path: string,
  options: Partial<CallHandlerOptions> & {body?: string},
) {
  let hasRun = false;
  const runner = {
    run: async (_call: unknown, response: http.ServerResponse) => {
      hasRun = true;
      response.end('answer');
      return {isErr: false};
    },
  } as unknown as CallRunner;
  const handler = new CallHandler({
    routes: () => new RouteTable(DEPLOYMENT),
    acceptsCalls: () => true,
    shutdownSignal: new AbortController().signal,
    wireFormat: WIRE_FORMAT,
    bodies: new BodyReader({budget, kind: 'request-body'}),
    memory: budget,
    runner,
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
    ...options,
  });
  server = http.createServer((request, response) => {
    void handler.handle(request, response, performance.now());
  });
  await new Promise<void>(resolve => server!.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const received = await new Promise<http.IncomingMessage>(
    (resolve, reject) => {
      const request = http.request({
        port,
        path,
        method: 'POST',
        headers: {host: 'a.example'},
        agent: false,
      });
      request.on('response', resolve);
      request.on('error', reject);
      request.end(options.body ?? '');
    },
  );
  received.resume();
  return {
    status: received.statusCode,
    retryAfter: received.headers['retry-after'],
    ran: hasRun,
  };
}

function createBudget(maxBytes: number): MemoryBudget {
  return new MemoryBudget({
    limit: {maxBytes: () => maxBytes},
    heapBytes: () => 0,
  });
}

it('call handler: a call on a route is run', async () => {
  expect(await call('/x/1', {})).to.include({status: 200, ran: true});
});

it('call handler: a call late in a shutdown is refused as not run', async () => {
  const late = await call('/x/1', {acceptsCalls: () => false});
  expect(late).to.include({status: 503, ran: false});
  expect(Number(late.retryAfter)).to.be.greaterThan(0);
});

it('call handler: before a deployment is known, a call is refused with 503 instead of 404', async () => {
  const early = await call('/x/1', {routes: () => undefined});
  expect(early).to.include({status: 503, ran: false});
  expect(Number(early.retryAfter)).to.be.greaterThan(0);
});

it('call handler: an unknown route and a body that is too large are refused', async () => {
  expect(await call('/y/1', {})).to.include({status: 404, ran: false});
  const large = await call('/x/1', {body: 'more than ten bytes'});
  expect(large).to.include({status: 413, ran: false});
});

it('call handler: a call that finds no memory for itself or its body is refused at once', async () => {
  for (const maxBytes of [1_000, 16_384 + 4]) {
    budget = createBudget(maxBytes);
    const refused = await call('/x/1', {body: '123456'});
    expect(refused).to.include({status: 503, ran: false});
    expect(Number(refused.retryAfter)).to.be.greaterThan(0);
    expect(budget.occupancy.heldBytes).to.equal(0);
  }
});

it('call handler: a call gives back its memory when it ends', async () => {
  await call('/x/1', {body: '123456'});
  expect(budget.occupancy.heldBytes).to.equal(0);
});
