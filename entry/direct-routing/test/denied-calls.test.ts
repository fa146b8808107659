import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Result} from 'true-myth';
import {
  AttemptSender,
  CallRunner,
  DirectRoutingMetrics,
  TargetClient,
  TargetFinder,
  type Call,
  type TargetHeaderValues,
  type WireFormat,
} from '@marigoldspur/direct-routing';
import {NO_CHARGE, type Charge} from '@marigoldspur/entry-quotas';
import {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import {createRequestBody} from '@marigoldspur/request-bodies';

const DENIAL = new Refusal('not-run', 401, 'unknown_key', 'removed');
const TARGET = {id: 't', bornAt: 0, address: ''};

let server: http.Server;
let client: TargetClient;
let sender: AttemptSender;
let wireFormat: WireFormat;
/** Number of requests that reached the target, and of its connections. */
let requests: number;
let connections: number;
/** Values of the headers that were sent. */
let sentValues: TargetHeaderValues[];
let denial: Refusal | undefined;
let charge: Charge;
/** Tenants that calls were charged to. */
let charged: (string | undefined)[];
let tenant: {name: string; priority?: number} | undefined;

beforeEach(async () => {
  requests = 0;
  connections = 0;
  sentValues = [];
  denial = undefined;
  charge = NO_CHARGE;
  charged = [];
  tenant = {name: 'ann'};
  wireFormat = {
    parseResponseHeaders: () => ({
      matchesCallId: true,
      isAttested: true,
      hasNotRun: false,
      isMisdirected: false,
    }),
    targetHeaders: (_headers: unknown, values: TargetHeaderValues) => {
      sentValues.push(values);
      return {host: 'a'};
    },
  } as unknown as WireFormat;
  server = http.createServer((request, response) => {
    requests += 1;
    request.resume();
    response.writeHead(500);
    response.end();
  });
  server.on('connection', () => (connections += 1));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  TARGET.address = `127.0.0.1:${port}`;
  client = new TargetClient(wireFormat);
  sender = createSender();
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

function createSender(): AttemptSender {
  return new AttemptSender({
    finder: {versionFor: () => undefined},
    selector: {
      startCall: () => ({end: () => {}, recordResponse: () => {}}),
      recordFailure: () => false,
    },
    targetClient: client,
    agentClient: {startUse: () => () => {}},
    crashMonitor: {findBlock: () => undefined, recordBreak: () => {}},
    requestCrashes: {findBlock: () => undefined},
    crashWitness: {probe: () => {}, recordResponse: () => {}},
    targetLimits: {recordResponse: () => {}},
    wireFormat,
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as never);
}

function createCall(): Call {
  return {
    metadata: {id: 'c'},
    route: {
      name: 'r',
      streaming: false,
      idempotent: true,
      timeoutMs: 60_000,
      latencyObjectiveMs: 1_000,
      priority: 5,
      maxAttempts: 3,
    },
    service: {name: 's'},
    tenant: {name: 'ann', priority: 1},
    method: 'GET',
    path: '/',
    headers: {},
    body: createRequestBody(),
    fingerprint: () => 'f',
    startedAt: performance.now(),
    signal: new AbortController().signal,
    access: {
      get tenant() {
        return tenant;
      },
      hidesKey: true,
      findRefusal: () => denial,
    },
  } as unknown as Call;
}

function createRunner(
  find: (...args: unknown[]) => Promise<unknown>,
): CallRunner {
  return new CallRunner({
    finder: {find},
    sender,
    retryLimiter: {recordCall: () => {}, acquire: async () => true},
    drainAdmission: {maySend: () => true},
    durations: {record: () => {}},
    streamOrigins: {resolve: async () => Result.ok(undefined)},
    memory: {reserve: () => undefined},
    quotas: {
      open: (tenant?: {name: string}) => {
        charged.push(tenant?.name);
        return charge;
      },
    },
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as never);
}

it('denied calls: a key that is removed while the connection opens keeps its call from being written', async () => {
  const call = createCall();
  const attempt = sender.startAttempt(call, TARGET as never, 1);
  const sending = sender.send(call, attempt);
  // The connection opens only after this turn.
  denial = DENIAL;
  const sent = await sending;
  const failure = sent.isErr ? sent.error : undefined;
  expect(sender.handleFailure(call, attempt, failure!)).to.equal(DENIAL);
  expect(failure?.outcome).to.equal('not-run');
  expect(sentValues).to.deep.equal([]);
  expect(requests).to.equal(0);
});

it('denied calls: the target gets the tenant and the priority that the key has when the call is written', async () => {
  const call = createCall();
  const attempt = sender.startAttempt(call, TARGET as never, 1);
  tenant = {name: 'bo', priority: 12};
  await sender.send(call, attempt);
  expect(sentValues[0]).to.include({
    tenant: 'bo',
    dropsKey: true,
    priority: 9,
  });
  tenant = undefined;
  const next = sender.startAttempt(call, TARGET as never, 2);
  await sender.send(call, next);
  expect(sentValues[1].tenant).to.equal(undefined);
  expect(sentValues[1].priority).to.equal(5);
});

it('denied calls: a key that is removed during the search for a target ends its call as not run, unsent', async () => {
  const runner = createRunner(async () => {
    denial = DENIAL;
    return Result.ok(TARGET);
  });
  const result = await runner.run(createCall(), {} as never);
  expect(result.isErr && result.error).to.equal(DENIAL);
  expect(connections).to.equal(0);
});

it('denied calls: a key that is removed between two attempts ends its call without another one, as possibly run', async () => {
  const runner = createRunner(async () => {
    denial = requests > 0 ? DENIAL : undefined;
    return Result.ok({...TARGET, id: `t${requests}`});
  });
  const result = await runner.run(createCall(), {} as never);
  expect(requests).to.equal(1);
  expect(result.isErr && result.error).to.include({
    outcome: 'unknown',
    status: 502,
    reason: 'unknown_key',
  });
});

it('denied calls: a key that is removed while an adapter loads ends the search', async () => {
  let prepared = 0;
  const finder = new TargetFinder({
    fleetView: {versionOf: () => undefined},
    selector: {
      choose: () => ({
        target: TARGET,
        needsAdapter: true,
        waitMs: 0,
        processingMs: 0,
      }),
      isAvailable: () => true,
    },
    adapterPreparer: {
      prepare: async () => {
        prepared += 1;
        denial = DENIAL;
        return true;
      },
    },
    crashMonitor: {findBlock: () => undefined},
    requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
    targetLimits: {isLimited: () => false, busyTargets: () => []},
    random: () => 0.5,
  } as never);
  const call = {...createCall(), metadata: {id: 'c', work: {model: 'm'}}};
  const found = await finder.find(call as never, new Set(), call.startedAt);
  expect(found.isErr && found.error).to.equal(DENIAL);
  expect(prepared).to.equal(1);
});

/** A charge whose units expire while the connection opens, the first `expiries` times. */
function createExpiringCharge(steps: string[], expiries: number): Charge {
  let left = expiries;
  return {
    ...NO_CHARGE,
    get mayBeUsed() {
      left -= 1;
      return left < 0;
    },
    spend: () => steps.push('spend'),
    unspend: () => steps.push('unspend'),
  } as Charge;
}

// Guards against units that run far later than they count, after a slow connect or a freeze.
it('denied calls: a call whose units expire before it is written is not run, and searches again', async () => {
  const steps: string[] = [];
  charge = createExpiringCharge(steps, 1);
  const searched: string[][] = [];
  const runner = createRunner(async (...args: unknown[]) => {
    searched.push([...(args[1] as Set<string>)]);
    return searched.length > 2 ? Result.err(DENIAL) : Result.ok(TARGET);
  });
  await runner.run(createCall(), {} as never);
  expect(steps).to.deep.equal(['spend', 'unspend', 'spend']);
  expect(searched.slice(0, 2)).to.deep.equal([[], []]);
  expect(requests).to.equal(1);
});

it('denied calls: a call whose units expire at each attempt is refused as not run', async () => {
  charge = createExpiringCharge([], Infinity);
  const runner = createRunner(async () => Result.ok(TARGET));
  const result = await runner.run(createCall(), {} as never);
  expect(requests).to.equal(0);
  expect(result.isErr && result.error).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'quota_units_expired',
    retryAfterSeconds: 0.5,
  });
});

// Guards against calls that run for one tenant and count for another.
it('denied calls: a call is charged to the tenant that its key has when it is served', async () => {
  tenant = {name: 'bo'};
  const runner = createRunner(async () =>
    requests === 0 ? Result.ok(TARGET) : Result.err(DENIAL),
  );
  await runner.run(createCall(), {} as never);
  expect(charged).to.deep.equal(['bo']);
  expect(sentValues[0].tenant).to.equal('bo');
});

it('denied calls: a call whose key changes its tenant after the charge ends as not run, unsent', async () => {
  let searches = 0;
  const runner = createRunner(async () => {
    searches += 1;
    tenant = {name: 'bo'};
    return Result.ok(TARGET);
  });
  const result = await runner.run(createCall(), {} as never);
  expect(requests).to.equal(0);
  expect(searches).to.equal(1);
  expect(result.isErr && result.error).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'tenant_changed',
  });
});
