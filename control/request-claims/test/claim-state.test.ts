import {expect} from 'chai';
import type {Claim, StoredAnswer} from '@marigoldspur/messages';
import {ClaimState} from '@marigoldspur/request-claims';

const RETENTION_MS = 10_000;
const ANSWER: StoredAnswer = {status: 200, contentType: 'text', body: 'aGk='};

function claim(request: string, change: Partial<Claim> = {}): Claim {
  return {
    customer: 'callao',
    key: 'indication',
    digest: 'd',
    request,
    entry: 'entry-0',
    boot: 'b1',
    retentionMs: RETENTION_MS,
    ...change,
  };
}

function completion(request: string, result: 'completed' | 'not-run') {
  return {customer: 'callao', key: 'indication', request, result};
}

it('claims: the first claim of a key wins and its resend is granted again', () => {
  const claims = new ClaimState();
  expect(claims.take(claim('r1'), 0).outcome).to.equal('granted');
  expect(claims.take(claim('r1'), 1).outcome).to.equal('granted');
  expect(claims.take(claim('r2'), 1)).to.deep.equal({
    outcome: 'running',
    request: 'r1',
  });
  const other = claim('r1', {boot: 'b2'});
  expect(claims.take(other, 1).outcome).to.equal('running');
});

it('claims: a different request body under the same key is a mismatch', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 0);
  const other = claim('r2', {digest: 'e'});
  expect(claims.take(other, 1).outcome).to.equal('mismatch');
});

it('claims: not-run releases the key, completed stores the answer', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 0);
  claims.complete(completion('r1', 'not-run'), 1);
  expect(claims.take(claim('r2'), 2).outcome).to.equal('granted');
  claims.complete({...completion('r2', 'completed'), answer: ANSWER}, 3);
  expect(claims.take(claim('r3'), 4)).to.deep.equal({
    outcome: 'completed',
    request: 'r2',
    answer: ANSWER,
  });
});

it('claims: a claim call that arrives after the claim was released is not granted', () => {
  const claims = new ClaimState();
  claims.complete(completion('r1', 'not-run'), 0);
  const late = {outcome: 'not-run', request: 'r1'};
  expect(claims.take(claim('r1'), 1)).to.deep.equal(late);
  const restored = new ClaimState();
  restored.restore(JSON.parse(JSON.stringify(claims.snapshot())));
  expect(restored.take(claim('r1'), 2)).to.deep.equal(late);
  expect(restored.holders()).to.deep.equal([]);
  expect(restored.take(claim('r2'), 3).outcome).to.equal('granted');
  restored.complete(completion('r2', 'not-run'), 4);
  expect(restored.take(claim('r2'), 5).outcome).to.equal('not-run');
});

it('claims: released claims are limited in number and removed after their retention', () => {
  const claims = new ClaimState();
  for (let index = 0; index < 10_001; index += 1) {
    claims.complete(completion(`r${index}`, 'not-run'), 0);
  }
  expect(claims.snapshot().givenBack).to.have.length(10_000);
  expect(claims.take(claim('r1'), 1).outcome).to.equal('not-run');
  claims.take(claim('other'), 660_000);
  expect(claims.snapshot().givenBack).to.have.length(0);
});

it('claims: the loss of an entry makes its running claims permanently unknown', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 0);
  claims.markEntryLost('entry-0', 'b1', 1);
  claims.complete(completion('r1', 'not-run'), 2);
  claims.complete(completion('r1', 'completed'), 2);
  expect(claims.take(claim('r2'), 3).outcome).to.equal('unknown');
  expect(claims.holders()).to.deep.equal([]);
});

it('claims: the loss of one boot does not affect the claims of another boot', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 0);
  claims.take(claim('r2', {key: 'other', boot: 'b2'}), 0);
  claims.markEntryLost('entry-0', 'b1', 1);
  expect(claims.holders()).to.deep.equal([{entry: 'entry-0', boot: 'b2'}]);
});

it('claims: a running claim outlives its retention', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 0);
  const later = RETENTION_MS * 10;
  expect(claims.take(claim('r2'), later).outcome).to.equal('running');
  claims.complete(completion('r1', 'completed'), later);
  const kept = later + RETENTION_MS - 1;
  expect(claims.take(claim('r3'), kept).outcome).to.equal('completed');
  expect(claims.take(claim('r4'), kept + 1).outcome).to.equal('granted');
});

it('claims: a claim that never ends becomes unknown after the time limit', () => {
  const claims = new ClaimState({runningLimitMs: 1_000});
  claims.take(claim('r1'), 0);
  expect(claims.take(claim('r2'), 999).outcome).to.equal('running');
  expect(claims.take(claim('r3'), 1_000).outcome).to.equal('unknown');
});

it('claims: the clock does not run backwards between leaders', () => {
  const claims = new ClaimState();
  claims.take(claim('r1'), 50_000);
  claims.complete(completion('r1', 'completed'), 20_000);
  const end = 50_000 + RETENTION_MS;
  expect(claims.take(claim('r2'), end - 1).outcome).to.equal('completed');
  expect(claims.take(claim('r3', {key: 'k'}), end).outcome).to.equal('granted');
  expect(claims.take(claim('r4'), 0).outcome).to.equal('granted');
});

it('claims: a full state refuses new keys and keeps existing claims', () => {
  const claims = new ClaimState({maxClaims: 1});
  claims.take(claim('r1'), 0);
  const next = claim('r2', {key: 'next'});
  expect(claims.take(next, 1).outcome).to.equal('full');
  expect(claims.take(claim('r1'), 1).outcome).to.equal('granted');
  claims.complete(completion('r1', 'completed'), 1);
  const afterExpiry = RETENTION_MS + 120_000;
  expect(claims.take(next, afterExpiry).outcome).to.equal('granted');
  expect(claims.size).to.equal(1);
});

it('claims: stored answers are bounded and the oldest is dropped first', () => {
  const claims = new ClaimState({maxTotalAnswerBytes: 12});
  for (const key of ['a', 'b']) {
    claims.take(claim(key, {key}), 0);
    const ended = {...completion(key, 'completed'), key, answer: ANSWER};
    claims.complete(ended, 1);
  }
  expect(claims.storedAnswerBytes).to.be.at.most(12);
  const answerOf = (key: string) => {
    const outcome = claims.take(claim('again', {key}), 2);
    return outcome.outcome === 'completed' ? outcome.answer : outcome;
  };
  expect(answerOf('a')).to.equal(undefined);
  expect(answerOf('b')).to.deep.equal(ANSWER);
});
