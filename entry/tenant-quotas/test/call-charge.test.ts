import {expect} from 'chai';
import {
  CallCharge,
  type HeldCharges,
  type QuotaGrant,
  type QuotaOutcome,
} from '@marigoldspur/entry-quotas';

/** Age at which units may not be used any more, in milliseconds. */
const EXPIRED_MS = 301;

let granted: QuotaGrant[];
let givenBack: QuotaGrant[];
let ages: Map<QuotaGrant, number>;
/** Age of units when they are granted, in milliseconds. */
let grantedAgeMs: number;
let held: Set<CallCharge>;
let refusal: QuotaOutcome | undefined;
let charge: CallCharge;

beforeEach(() => {
  granted = [];
  givenBack = [];
  ages = new Map();
  grantedAgeMs = 5;
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
    ageMs: grant => ages.get(grant) ?? grantedAgeMs,
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
  ages.set(granted[0], EXPIRED_MS);
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
  ages.set(granted[0], EXPIRED_MS);
  charge.unspend();
  expect(givenBack).to.deep.equal(granted);
  expect(held.size).to.equal(0);
});

// Guards against calls that wait 290 ms for an adapter and whose units expire while they connect.
it('call charge: units that are about to expire are replaced before the call is sent', async () => {
  await charge.secure();
  ages.set(granted[0], 199);
  expect(charge.isDue).to.equal(false);
  ages.set(granted[0], 201);
  expect(charge.isDue).to.equal(true);
  await charge.secure();
  expect(givenBack).to.deep.equal([granted[0]]);
  expect(granted).to.have.length(2);
});

// Guards against calls that are charged again and again while replicas answer slowly.
it('call charge: units that are granted late may be sent at once', async () => {
  grantedAgeMs = 280;
  await charge.secure();
  expect(charge.isDue).to.equal(false);
  charge.spend();
  expect(charge.mayBeUsed).to.equal(true);
});

// Guards against units that are used long after they count.
it('call charge: units that were spent may be used until they expire', async () => {
  expect(charge.mayBeUsed).to.equal(false);
  await charge.secure();
  charge.spend();
  expect(charge.mayBeUsed).to.equal(true);
  ages.set(granted[0], EXPIRED_MS);
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
