import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {TenantGate} from '@marigoldspur/caller-tenants';
import type {Deployment} from '@marigoldspur/deployment';
import {
  CallHandler,
  DirectRoutingMetrics,
  fingerprintRequest,
  type Call,
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
const KEY = 'secret-1';
const TENANT_DEPLOYMENT: Deployment = {
  ...DEPLOYMENT,
  routes: [
    ...DEPLOYMENT.routes,
    {
      ...DEPLOYMENT.routes[0],
      name: 'p',
      pathPrefix: '/public/',
      isPublic: true,
    },
  ],
  tenants: [{name: 'ann', keys: [KEY]}],
};
const WIRE_FORMAT = {
  parseCallHeaders: ({key}: http.IncomingHttpHeaders) => ({
    id: 'c1',
    key,
    credentials: key,
  }),
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
  options: Partial<CallHandlerOptions> & {
    body?: string;
    deployment?: Deployment;
    /** Key of the call. */
    key?: string;
    /** Whether control has confirmed the deployment; not asked if absent. */
    isConfirmed?: boolean;
  },
) {
  let run: Call | undefined;
  const runner = {
    run: async (served: Call, response: http.ServerResponse) => {
      run = served;
      response.end('answer');
      return {isErr: false};
    },
  } as unknown as CallRunner;
  const handler = new CallHandler({
    routes: () => new RouteTable(options.deployment ?? DEPLOYMENT),
    acceptsCalls: () => true,
    shutdownSignal: new AbortController().signal,
    wireFormat: WIRE_FORMAT,
    tenants: createGate(options),
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
        headers: {
          host: 'a.example',
          ...(options.key !== undefined && {key: options.key}),
        },
        agent: false,
      });
      request.on('response', resolve);
      request.on('error', reject);
      request.end(options.body ?? '');
    },
  );
  const body = (await received.toArray()).join('');
  return {
    status: received.statusCode,
    retryAfter: received.headers['retry-after'],
    ran: run !== undefined,
    run,
    body,
  };
}

function createGate({
  deployment = DEPLOYMENT,
  isConfirmed,
}: {
  deployment?: Deployment;
  isConfirmed?: boolean;
}): TenantGate {
  return new TenantGate({
    deployment: () => deployment,
    freshness:
      isConfirmed === undefined ? undefined : {isFresh: () => isConfirmed},
    clock: () => ({monotonicMs: 0, wallMs: 0}),
    onUnconfirmed: () => {},
    metrics: {recordCall: () => {}},
  });
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
  for (const maxBytes of [1_000, 16_384 + 4, 16_384 + 4_096 + 4]) {
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

it('call handler: with tenants, a call without a key or with an unknown one gets 401, its body unread', async () => {
  let reads = 0;
  const bodies = {
    read: () => {
      reads += 1;
      throw new Error('the body must not be read');
    },
  };
  for (const key of [
    undefined,
    '',
    'other',
    `${KEY}, ${KEY}`,
    `Bearer ${KEY}`,
  ]) {
    const refused = await call('/x/1', {
      deployment: TENANT_DEPLOYMENT,
      key,
      bodies,
    });
    expect(refused).to.include({status: 401, ran: false});
    expect(JSON.parse(refused.body).error).to.include({
      reason: 'unknown_key',
      outcome: 'not-run',
    });
    expect(refused.body).to.not.include(KEY);
  }
  expect(reads).to.equal(0);
});

it('call handler: a call with a key runs as its tenant; neither its metadata nor its fingerprint depend on the key', async () => {
  const {run, status} = await call('/x/1', {
    deployment: TENANT_DEPLOYMENT,
    key: KEY,
  });
  expect(status).to.equal(200);
  expect(run?.tenant).to.deep.equal({name: 'ann'});
  expect(JSON.stringify(run?.metadata)).to.not.include(KEY);
  expect(run?.fingerprint()).to.equal(
    fingerprintRequest({
      method: 'POST',
      host: 'a.example',
      path: '/x/1',
      credentials: 'ann',
      body: {pieces: []},
    }),
  );
});

it('call handler: on a public route, a call with an unknown key runs without a tenant, one with a known key as its tenant', async () => {
  const deployment = TENANT_DEPLOYMENT;
  for (const key of [undefined, 'other']) {
    const isConfirmed = false;
    const options = {deployment, key, isConfirmed};
    const {run, status} = await call('/public/1', options);
    expect(status).to.equal(200);
    expect(run?.tenant).to.equal(undefined);
    expect(run?.metadata.credentials).to.equal(undefined);
    expect(run?.access?.hidesKey).to.equal(true);
  }
  const {run} = await call('/public/1', {deployment, key: KEY});
  expect(run?.tenant?.name).to.equal('ann');
});

it('call handler: while the configuration is unconfirmed, calls with known and unknown keys get 503 as not run', async () => {
  for (const key of [undefined, 'other', KEY]) {
    const deployment = TENANT_DEPLOYMENT;
    const isConfirmed = false;
    const refused = await call('/x/1', {deployment, key, isConfirmed});
    expect(refused).to.include({status: 503, ran: false});
    expect(JSON.parse(refused.body).error).to.include({
      reason: 'configuration_unconfirmed',
      outcome: 'not-run',
    });
    expect(Number(refused.retryAfter)).to.be.greaterThan(0);
  }
});

it('call handler: without tenants, a key and its confirmation do not matter', async () => {
  const {run, status} = await call('/x/1', {key: 'any', isConfirmed: false});
  expect(status).to.equal(200);
  expect(run?.metadata.credentials).to.equal('any');
  expect(run?.access?.hidesKey).to.equal(false);
});
