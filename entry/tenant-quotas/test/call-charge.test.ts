import {expect} from 'chai';
import {
  CallCharge,
  type HeldCharges,
  type QuotaGrant,
  type QuotaOutcome,
} from '@marigoldspur/entry-quotas';

let granted: QuotaGrant[];
let givenBack: QuotaGrant[];
let expired: Set<QuotaGrant>;
let held: Set<CallCharge>;
let refusal: QuotaOutcome | undefined;
let charge: CallCharge;

beforeEach(() => {
  granted = [];
  givenBack = [];
  expired = new Set();
  held = new Set();
  refusal = undefined;
  const quotas: HeldCharges = {
    request: async amount => {
      if (refusal !== undefined) {
        return refusal;
      }
      const requestedAt = {monotonicMs: 0, wallMs: 0};
      const parts = [{...amount, replica: 'r', requestedAt}];
      const grant = {...amount, parts};
      granted.push(grant);
      return {kind: 'granted', grant};
    },
    giveBack: grant => givenBack.push(grant),
    isUsable: grant => !expired.has(grant),
    hold: each => held.add(each),
    drop: each => held.delete(each),
  };
  charge = new CallCharge(quotas, {tenant: 't', amount: 9});
});

it('call charge: a call is charged once, and a call that ends without an attempt is refunded', async () => {
  expect(await charge.secure()).to.equal(undefined);
  expect(await charge.secure()).to.equal(undefined);
  charge.release();
  expect(givenBack).to.deep.equal(granted);
  expect(granted).to.have.length(1);
  expect(held.size).to.equal(0);
});

it('call charge: a call that was sent is not refunded, and is charged again for another attempt', async () => {
  await charge.secure();
  charge.spend();
  expect(charge.isDue).to.equal(true);
  await charge.secure();
  charge.spend();
  charge.release();
  expect(granted).to.have.length(2);
  expect(givenBack).to.deep.equal([]);
});

it('call charge: an attempt that did not run leaves its units to the next one', async () => {
  await charge.secure();
  charge.spend();
  charge.unspend();
  expect(await charge.secure()).to.equal(undefined);
  expect(granted).to.have.length(1);
  charge.release();
  expect(givenBack).to.deep.equal(granted);
});

it('call charge: units that were held too long are given back, and new ones are needed', async () => {
  await charge.secure();
  expired.add(granted[0]);
  expect(charge.releaseIfDue()).to.equal(false);
  expect(givenBack).to.deep.equal([granted[0]]);
  await charge.secure();
  expect(granted).to.have.length(2);
  charge.spend();
  charge.release();
  expect(givenBack).to.have.length(1);
});

it('call charge: an attempt that did not run for long gives its units back at once', async () => {
  await charge.secure();
  charge.spend();
  expired.add(granted[0]);
  charge.unspend();
  expect(givenBack).to.deep.equal(granted);
  expect(held.size).to.equal(0);
});

// Guards against units that are used long after they count.
it('call charge: units that were spent may be used until they expire', async () => {
  expect(charge.mayBeUsed).to.equal(false);
  await charge.secure();
  charge.spend();
  expect(charge.mayBeUsed).to.equal(true);
  expired.add(granted[0]);
  expect(charge.mayBeUsed).to.equal(false);
});

it('call charge: refusals say that the call did not run and when to come back', async () => {
  refusal = {kind: 'exceeded', waitMs: 1_499.2};
  const exceeded = await charge.secure();
  expect(exceeded).to.include({
    outcome: 'not-run',
    status: 429,
    reason: 'quota_exceeded',
    retryAfterSeconds: 1.5,
  });
  refusal = {kind: 'unavailable', waitMs: 40};
  const unavailable = await charge.secure();
  expect(unavailable).to.include({
    outcome: 'not-run',
    status: 503,
    reason: 'quota_unavailable',
    retryAfterSeconds: 0.5,
  });
  refusal = {kind: 'unavailable', waitMs: 1_499.2};
  expect(await charge.secure()).to.include({
    reason: 'quota_unavailable',
    retryAfterSeconds: 1.5,
  });
});
