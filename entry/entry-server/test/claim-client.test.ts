import {expect} from 'chai';
import {Result} from 'true-myth';
import type {ControlClient} from '@marigoldspur/control-client';
import {EventLog} from '@marigoldspur/event-log';
import {Fault} from '@marigoldspur/faults';
import type {Claim, ClaimOutcome, Completion} from '@marigoldspur/messages';
import {ClaimState} from '@marigoldspur/request-claims';
import {ClaimClient, type ClaimRequest} from '../src/claim-client.js';

const RETENTION_MS = 60_000;
const REQUEST: ClaimRequest = {
  customer: 'callao',
  key: 'indication-1',
  method: 'POST',
  url: '/indication',
  body: Buffer.from('tonnes=50000'),
  request: 'request-1',
  retentionMs: RETENTION_MS,
};

/** In-memory control that loses the given numbers of calls and answers. */
class FakeControl {
  readonly claims = new ClaimState();
  lostAnswers = 0;
  lostCalls = 0;

  readonly client = {
    call: async (call: (replica: unknown, signal: AbortSignal) => unknown) => {
      if (this.lostCalls > 0) {
        this.lostCalls -= 1;
        return Result.err(new Fault('NO_QUORUM', 'no quorum'));
      }
      const answer = await call(this.replica, new AbortController().signal);
      if (this.lostAnswers > 0) {
        this.lostAnswers -= 1;
        return Result.err(new Fault('UNAVAILABLE', 'the answer was lost'));
      }
      return Result.ok(answer);
    },
  } as unknown as Pick<ControlClient, 'call'>;

  private readonly replica = {
    takeClaim: {
      mutate: async (claim: Claim): Promise<ClaimOutcome> =>
        this.claims.take(claim, 0),
    },
    completeClaim: {
      mutate: async (completion: Completion): Promise<void> =>
        this.claims.complete(completion, 0),
    },
  };
}

function createClaimClient(
  control: FakeControl,
  entry = 'entry-0',
): ClaimClient {
  return new ClaimClient({
    client: control.client,
    events: new EventLog({process: entry}),
    entry,
    boot: `${entry}-boot`,
    random: () => 0,
  });
}

function completed(body: string): Completion {
  const {customer, key, request} = REQUEST;
  const answer = {status: 201, contentType: 'text/plain', body};
  return {customer, key, request, result: 'completed', answer};
}

async function reasonOf(
  claimClient: ClaimClient,
  request: ClaimRequest,
): Promise<string> {
  const result = await claimClient.acquire(request);
  return result.isOk ? result.value.result : result.error.reason;
}

it('claims: a repeated request through another entry is refused while the first one runs', async () => {
  const control = new FakeControl();
  await createClaimClient(control).acquire(REQUEST);
  const resend = await createClaimClient(control, 'entry-1').acquire({
    ...REQUEST,
    request: 'request-2',
  });
  expect(resend.isErr && resend.error).to.include({
    reason: 'already_running',
    outcome: 'unknown',
    status: 409,
    retryAfterSeconds: 1,
  });
});

it('claims: a repeated request after the end gets the stored response', async () => {
  const control = new FakeControl();
  const claimClient = createClaimClient(control);
  await claimClient.acquire(REQUEST);
  claimClient.complete(completed('MTAw'), RETENTION_MS);
  await claimClient.waitForCompletions(RETENTION_MS);
  const resend = await claimClient.acquire({...REQUEST, request: 'request-2'});
  expect(resend.isOk && resend.value).to.deep.include({
    result: 'answered',
    answer: {status: 201, contentType: 'text/plain', body: 'MTAw'},
  });
});

it('claims: a different body under the same key is refused as not run', async () => {
  const control = new FakeControl();
  const claimClient = createClaimClient(control);
  await claimClient.acquire(REQUEST);
  const other = {...REQUEST, request: 'request-2', body: Buffer.from('other')};
  expect(await reasonOf(claimClient, other)).to.equal('key_reused');
});

it('claims: if control is unavailable, the request is refused and the key stays free', async () => {
  const control = new FakeControl();
  const claimClient = createClaimClient(control);
  control.lostCalls = 1;
  const refused = await claimClient.acquire(REQUEST);
  expect(refused.isErr && refused.error).to.include({
    reason: 'claim_unavailable',
    outcome: 'not-run',
  });
  await claimClient.waitForCompletions(RETENTION_MS);
  expect(
    await reasonOf(claimClient, {...REQUEST, request: 'request-2'}),
  ).to.equal('granted');
});

it('claims: a claim whose answer was lost is released', async () => {
  const control = new FakeControl();
  const claimClient = createClaimClient(control);
  control.lostAnswers = 1;
  expect(await reasonOf(claimClient, REQUEST)).to.equal('claim_unavailable');
  await claimClient.waitForCompletions(RETENTION_MS);
  expect(
    await reasonOf(claimClient, {...REQUEST, request: 'request-2'}),
  ).to.equal('granted');
});

it('claims: a completion is retried until control accepts it', async () => {
  const control = new FakeControl();
  const claimClient = createClaimClient(control);
  await claimClient.acquire(REQUEST);
  control.lostCalls = 3;
  claimClient.complete(completed('MTAw'), RETENTION_MS);
  expect(claimClient.pendingCompletions).to.equal(1);
  await claimClient.waitForCompletions(RETENTION_MS);
  expect(claimClient.pendingCompletions).to.equal(0);
  expect(
    await reasonOf(claimClient, {...REQUEST, request: 'request-2'}),
  ).to.equal('answered');
});

it('claims: the outcome of a lost entry’s request stays unknown', async () => {
  const control = new FakeControl();
  await createClaimClient(control).acquire(REQUEST);
  control.claims.markEntryLost('entry-0', 'entry-0-boot', 0);
  const claimClient = createClaimClient(control, 'entry-1');
  const resend = {...REQUEST, request: 'request-2'};
  expect(await reasonOf(claimClient, resend)).to.equal('outcome_unknown');
});

it('claims: while control does not answer, one claim is sent and the others are refused', async () => {
  const control = new FakeControl();
  let asked = 0;
  let answer = () => {};
  const call: ControlClient['call'] = async (send, deadlineMs) => {
    asked += 1;
    await new Promise<void>(resolve => (answer = resolve));
    return control.client.call(send, deadlineMs);
  };
  const claimClient = new ClaimClient({
    client: {call},
    events: new EventLog({process: 'entry-0'}),
    entry: 'entry-0',
    boot: 'entry-0-boot',
    random: () => 0,
  });
  control.lostCalls = 1;
  const lost = claimClient.acquire(REQUEST);
  answer();
  expect((await lost).isErr).to.equal(true);
  answer();
  const trial = claimClient.acquire({...REQUEST, key: 'indication-2'});
  const askedBefore = asked;
  expect(
    await reasonOf(claimClient, {...REQUEST, key: 'indication-3'}),
  ).to.equal('claim_unavailable');
  expect(asked).to.equal(askedBefore);
  answer();
  expect((await trial).isOk).to.equal(true);
  const next = claimClient.acquire({...REQUEST, key: 'indication-3'});
  answer();
  expect((await next).isOk).to.equal(true);
});

it('claims: callers refused at the same time get different retry delays', async () => {
  const control = new FakeControl();
  control.lostCalls = 100;
  let random = 0;
  const claimClient = new ClaimClient({
    client: control.client,
    events: new EventLog({process: 'entry-0'}),
    entry: 'entry-0',
    boot: 'entry-0-boot',
    random: () => random,
  });
  const seconds: Array<number | undefined> = [];
  for (random of [0, 0.5, 0.999]) {
    const result = await claimClient.acquire({...REQUEST, retentionMs: 1});
    seconds.push(result.isErr ? result.error.retryAfterSeconds : undefined);
  }
  expect(seconds).to.deep.equal([1, 2, 3]);
});
