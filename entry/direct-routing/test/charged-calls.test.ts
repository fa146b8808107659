import type {ServerResponse} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Result} from 'true-myth';
import type {Tenant} from '@marigoldspur/deployment';
import {
  CallRunner,
  DirectRoutingMetrics,
  type CallRunnerOptions,
} from '@marigoldspur/direct-routing';
import type {Charge} from '@marigoldspur/entry-quotas';
import {EventLog} from '@marigoldspur/event-log';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';

type Call = Parameters<CallRunner['run']>[0];

const TENANT: Tenant = {name: 't', keys: []};
const EXCEEDED = new Refusal('not-run', 429, 'quota_exceeded', '', 1.5);

/** What happened, in order. */
let steps: string[];
/** Outcomes of the attempts. */
let outcomes: RefusalOutcome[];
/** Refusals of the charge; undefined where it is granted. */
let refusals: (Refusal | undefined)[];
/** Whether units expire during the next search. */
let isSearchLong: boolean;
/** Time that a charge takes, in milliseconds. */
let chargeMs: number;
/** Whether a target that was found is available after another charge. */
let isStillAvailable: boolean;
let opened: unknown[];

beforeEach(() => {
  steps = [];
  outcomes = [];
  refusals = [];
  isSearchLong = false;
  chargeMs = 0;
  isStillAvailable = true;
  opened = [];
});

/** A charge that records what it is asked for. */
function createCharge(): Charge {
  let isHeld = false;
  return {
    get isDue() {
      return !isHeld;
    },
    mayBeUsed: true,
    secure: async () => {
      if (!isHeld) {
        steps.push('charge');
        await pause(chargeMs);
        const refusal = refusals.shift();
        isHeld = refusal === undefined;
        return refusal;
      }
      return undefined;
    },
    spend: () => {
      steps.push('spend');
      isHeld = false;
    },
    unspend: () => {
      steps.push('unspend');
      isHeld = true;
    },
    release: () => {
      steps.push(isHeld ? 'refund' : 'end');
    },
  };
}

async function run(): Promise<string> {
  let targets = 0;
  let charge: Charge;
  const options = {
    finder: {
      isAvailable: () => isStillAvailable,
      find: async () => {
        steps.push('search');
        if (isSearchLong) {
          isSearchLong = false;
          charge.spend();
          steps.pop();
        }
        targets += 1;
        return Result.ok({id: `t${targets}`});
      },
    },
    sender: {
      startAttempt: () => ({tracker: {end: () => undefined}}),
      send: async () => {
        steps.push('send');
        return Result.err({});
      },
      handleFailure: () => {
        const outcome = outcomes.shift() ?? 'unknown';
        return new Refusal(outcome, 502, 'failed', '');
      },
    },
    retryLimiter: {recordCall: () => undefined, acquire: async () => true},
    drainAdmission: {maySend: () => true},
    durations: {record: () => undefined},
    streamOrigins: {resolve: async () => Result.ok(undefined)},
    memory: {reserve: () => undefined},
    quotas: {
      open: (tenant: Tenant | undefined, tokens: number | undefined) => {
        opened.push([tenant?.name, tokens]);
        charge = createCharge();
        return charge;
      },
    },
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as unknown as CallRunnerOptions;
  const call = {
    metadata: {id: 'c', statedTokens: 900},
    startedAt: performance.now(),
    tenant: TENANT,
    route: {name: 'r', idempotent: true, timeoutMs: 5_000, maxAttempts: 2},
    service: {name: 's'},
    signal: new AbortController().signal,
  } as unknown as Call;
  const response = {headersSent: false} as ServerResponse;
  const result = await new CallRunner(options).run(call, response);
  return result.isErr ? result.error.reason : 'answered';
}

it('charged calls: a call over its quota is refused before a target is searched', async () => {
  refusals = [EXCEEDED];
  expect(await run()).to.equal('quota_exceeded');
  expect(steps).to.deep.equal(['charge', 'end']);
  expect(opened).to.deep.equal([['t', 900]]);
});

it('charged calls: another attempt is charged again if the first may have run', async () => {
  outcomes = ['unknown', 'unknown'];
  await run();
  const attempt = ['charge', 'search', 'spend', 'send'];
  expect(steps).to.deep.equal([...attempt, ...attempt, 'end']);
});

it('charged calls: attempts that did not run share one charge, which is refunded at the end', async () => {
  outcomes = ['not-run', 'not-run', 'not-run', 'not-run'];
  await run();
  expect(steps.filter(step => step === 'charge')).to.have.length(1);
  expect(steps.filter(step => step === 'send')).to.have.length(4);
  expect(steps.at(-1)).to.equal('refund');
});

// Guards against a lost permit of a target with a request limit for each call that waited for it.
it('charged calls: a call whose units expired during the search keeps its target if new ones come at once', async () => {
  isSearchLong = true;
  await run();
  const kept = ['charge', 'search', 'charge', 'spend', 'send'];
  expect(steps.slice(0, 5)).to.deep.equal(kept);
});

for (const [name, takesMs, isAvailable] of [
  ['come late', 60, true],
  ['come at once but its target is not available any more', 0, false],
] as const) {
  it(`charged calls: a call whose units expired during the search searches again if new ones ${name}`, async () => {
    isSearchLong = true;
    chargeMs = takesMs;
    isStillAvailable = isAvailable;
    await run();
    expect(steps.slice(0, 6)).to.deep.equal([
      'charge',
      'search',
      'charge',
      'search',
      'spend',
      'send',
    ]);
  });
}

it('charged calls: a call whose units expired is refused if the quota has no room any more', async () => {
  isSearchLong = true;
  refusals = [undefined, EXCEEDED];
  expect(await run()).to.equal('quota_exceeded');
  expect(steps).to.deep.equal(['charge', 'search', 'charge', 'end']);
});
