import {expect} from 'chai';
import {Result} from 'true-myth';
import {
  CallStreamResumer,
  TriedTargets,
  type CallStreamResumerOptions,
} from '@marigoldspur/direct-routing';
import {NO_CHARGE} from '@marigoldspur/entry-quotas';
import {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';

type Parameters = ConstructorParameters<typeof CallStreamResumer>;

const REST = {
  message: {statusCode: 200},
  metadata: {},
};

/** Why attempts are not sent, in order; later ones are answered. */
let reasons: string[];
let retries: number;
let maxAttempts: number;
/** Whether the other target is the only one with room. */
let isOnlyOne: boolean;
/** IDs of the targets that each search left out. */
let excluded: string[][];

beforeEach(() => {
  reasons = [];
  retries = 0;
  maxAttempts = 2;
  isOnlyOne = false;
  excluded = [];
});

function createAttempt(number: number) {
  const tracker = {end: () => undefined, recordResponse: () => undefined};
  return {number, target: {id: `t${number}`}, tracker, sentAfterMs: 0};
}

/** Resumes a stream with two attempts whose first one broke off; returns whether it goes on. */
async function resume(): Promise<boolean> {
  const options = {
    finder: {
      find: async (_call: unknown, tried: ReadonlySet<string>) => {
        excluded.push([...tried]);
        return isOnlyOne && tried.has('other')
          ? Result.err(new Refusal('not-run', 503, 'no_model_memory', ''))
          : Result.ok({id: 'other'});
      },
    },
    sender: {
      startAttempt: (_call: unknown, target: unknown, number: number) => ({
        ...createAttempt(number),
        target,
      }),
      send: async () => (reasons.length > 0 ? Result.err({}) : Result.ok(REST)),
      handleFailure: () => new Refusal('not-run', 503, reasons.shift()!, ''),
    },
    retryLimiter: {
      acquire: async () => {
        retries += 1;
        return true;
      },
    },
    streamOrigins: {originAt: () => undefined},
    events: new EventLog({process: 'test'}),
  } as unknown as CallStreamResumerOptions;
  const call = {
    metadata: {id: 'c'},
    route: {maxAttempts},
    service: {name: 's'},
    signal: new AbortController().signal,
  };
  const resumer = new CallStreamResumer(
    options,
    call as unknown as Parameters[1],
    createAttempt(1) as unknown as Parameters[2],
    new TriedTargets(),
    undefined,
    undefined,
    {charge: NO_CHARGE, chargedTenant: undefined},
  );
  return (await resumer.reopen(3)) !== undefined;
}

// Guards against streams that break off, and a retry of the service's budget for each attempt, because
// units expired before the attempt was sent.
it('call stream resumer: an attempt whose units expired counts neither as one nor as a retry', async () => {
  reasons = ['quota_units_expired', 'quota_units_expired'];
  expect(await resume()).to.equal(true);
  expect(retries).to.equal(1);
  expect(excluded).to.deep.equal([['t1'], ['t1'], ['t1']]);
});

it('call stream resumer: units that expire again and again end the stream', async () => {
  reasons = Array(9).fill('quota_units_expired');
  expect(await resume()).to.equal(false);
  expect(reasons).to.have.length(6);
});

it('call stream resumer: a call whose key belongs to another tenant now is not sent on', async () => {
  reasons = ['tenant_changed'];
  expect(await resume()).to.equal(false);
  expect(excluded).to.have.length(1);
});

it('call stream resumer: an attempt at a target that rejects the call counts', async () => {
  reasons = ['target_full'];
  expect(await resume()).to.equal(false);
  expect(retries).to.equal(1);
});

// Guards against streams that break off although the only engine with room would load the adapter.
it('call stream resumer: the only engine with room loads an adapter again that it had unloaded', async () => {
  reasons = ['adapter_missing'];
  maxAttempts = 3;
  isOnlyOne = true;
  expect(await resume()).to.equal(true);
  expect(excluded).to.deep.equal([['t1'], ['t1', 'other'], ['t1']]);
});
