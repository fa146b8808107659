import type {ServerResponse} from 'node:http';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import {Result} from 'true-myth';
import {
  CallRunner,
  DirectRoutingMetrics,
  type CallRunnerOptions,
} from '@marigoldspur/direct-routing';
import {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';

type Call = Parameters<CallRunner['run']>[0];

/** IDs of the engines with room for the model of the call. */
let engines: string[];
/** Reasons of the refusals of the attempts, in order. */
let reasons: string[];
/** IDs of the engines to which the call was sent. */
let sentTo: string[];

beforeEach(() => {
  sentTo = [];
});

/** Runs a call; returns why it was refused at last. */
async function run(): Promise<string> {
  const options = {
    finder: {
      isAvailable: () => true,
      find: async (_call: Call, excluded: ReadonlySet<string>) => {
        const id = engines.find(each => !excluded.has(each));
        return id === undefined
          ? Result.err(new Refusal('not-run', 503, 'no_model_memory', ''))
          : Result.ok({id});
      },
    },
    sender: {
      startAttempt: (_call: Call, {id}: {readonly id: string}) => {
        sentTo.push(id);
        return {tracker: {end: () => undefined}};
      },
      send: async () => Result.err({}),
      handleFailure: () =>
        new Refusal('not-run', 503, reasons.shift() ?? 'failed', ''),
    },
    retryLimiter: {recordCall: () => undefined, acquire: async () => true},
    drainAdmission: {maySend: () => true},
    durations: {record: () => undefined},
    streamOrigins: {resolve: async () => Result.ok(undefined)},
    quotas: {
      open: () => ({
        isDue: false,
        mayBeUsed: true,
        secure: async () => undefined,
        spend: () => undefined,
        unspend: () => undefined,
        release: () => undefined,
      }),
    },
    events: new EventLog({process: 'test'}),
    metrics: new DirectRoutingMetrics(new Registry()),
  } as unknown as CallRunnerOptions;
  const call = {
    metadata: {id: 'c'},
    startedAt: performance.now(),
    route: {name: 'r', idempotent: true, timeoutMs: 5_000, maxAttempts: 2},
    service: {name: 's'},
    signal: new AbortController().signal,
  } as unknown as Call;
  const response = {headersSent: false} as ServerResponse;
  const result = await new CallRunner(options).run(call, response);
  return result.isErr ? result.error.reason : 'answered';
}

// Guards against refusals of calls whose adapter the only engine with room had just unloaded.
it('missing adapter: the only engine with room loads it again', async () => {
  engines = ['a'];
  reasons = ['adapter_missing', 'failed'];
  expect(await run()).to.equal('failed');
  expect(sentTo).to.deep.equal(['a', 'a']);
});

it('missing adapter: another engine with room is used first', async () => {
  engines = ['a', 'b'];
  reasons = ['adapter_missing', 'adapter_missing', 'failed'];
  await run();
  expect(sentTo).to.deep.equal(['a', 'b', 'a', 'b']);
});

it('missing adapter: an engine that refused for another reason is not used again', async () => {
  engines = ['a'];
  reasons = ['target_full'];
  expect(await run()).to.equal('target_full');
  expect(sentTo).to.deep.equal(['a']);
});

it('missing adapter: the attempts are limited', async () => {
  engines = ['a'];
  reasons = Array.from({length: 9}, () => 'adapter_missing');
  expect(await run()).to.equal('adapter_missing');
  expect(sentTo).to.have.length(4);
});
