import {expect} from 'chai';
import type {Quota, Tenant} from '@marigoldspur/deployment';
import {quotaCost, QuotaLedger} from '@marigoldspur/tenant-quotas';

const QUOTA: Quota = {
  unit: 'tokens',
  perSecond: 1_000,
  burst: 2_000,
  defaultCost: 700,
};
const TENANT: Tenant = {name: 't', keys: [], quota: QUOTA};
const URLS = ['http://a', 'http://b', 'http://c', 'http://d'];
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, slack: 600};
/**
 * The tolerance, less half of the slack for the reserves of entries and what is used 300 ms late; half
 * of it adds to the burst.
 */
const SPARE = 0.1 * 10_000 + 600 / 2 - 300;
const CAPACITY = 2_000 + SPARE / 2;
const OWN_CAPACITY = CAPACITY / URLS.length;

function createLedger(ownUrl = URLS[0], urls = URLS): QuotaLedger {
  const ledger = new QuotaLedger({
    tolerance: TOLERANCE,
    group: {ownUrl, urls},
  });
  ledger.setTenants([TENANT], 0, 0);
  return ledger;
}

function ask(
  ledger: QuotaLedger,
  amount: number,
  now: number,
  {isDivisible = false, tenant = 't'} = {},
) {
  const request = {grants: [{tenant, amount, isDivisible}], returns: []};
  return ledger.decide(request, now).grants[0];
}

it('quota cost: stated tokens, the default without them, or one for each request', () => {
  expect(quotaCost(QUOTA, 1_540)).to.equal(1_540);
  expect(quotaCost(QUOTA, undefined)).to.equal(700);
  expect(quotaCost({...QUOTA, unit: 'requests'}, 1_540)).to.equal(1);
});

it('quota ledger: a replica grants its share, and states when all replicas have room', () => {
  const ledger = createLedger();
  expect(ask(ledger, OWN_CAPACITY, 10_000)).to.deep.equal({
    granted: OWN_CAPACITY,
    waitMs: 0,
  });
  expect(ask(ledger, 500, 10_000)).to.deep.equal({granted: 0, waitMs: 500});
  expect(ask(ledger, 500, 12_000).granted).to.equal(500);
  expect(ask(ledger, 1, 12_000).granted).to.equal(0);
});

// Guards against requests above a replica's share that no replica would ever grant.
it('quota ledger: of an amount above its share a replica grants what it has, if parts are of use', () => {
  const ledger = createLedger();
  const amount = OWN_CAPACITY + 100;
  expect(ask(ledger, amount, 10_000).granted).to.equal(0);
  const {granted, waitMs} = ask(ledger, amount, 10_000, {isDivisible: true});
  expect(granted).to.equal(OWN_CAPACITY);
  expect(waitMs).to.equal(100);
});

it('quota ledger: an amount above what all replicas hold is refused with a long wait', () => {
  const ledger = createLedger();
  for (const isDivisible of [false, true]) {
    const decision = ask(ledger, CAPACITY + 1, 10_000, {isDivisible});
    const refused = {granted: 0, waitMs: 60_000, isTooLarge: true};
    expect(decision).to.deep.equal(refused);
  }
});

it('quota ledger: a bucket starts empty when the deployment became active', () => {
  const ledger = createLedger();
  expect(ask(ledger, 100, 0).granted).to.equal(0);
  expect(ask(ledger, 100, 400).granted).to.equal(100);
});

it('quota ledger: a tenant that is not known has no wait, one without a quota is granted everything', () => {
  const ledger = createLedger();
  expect(ask(ledger, 1, 10_000, {tenant: 'other'})).to.deep.equal({granted: 0});
  ledger.setTenants([{...TENANT, quota: undefined}], 0, 10_000);
  expect(ask(ledger, 1e9, 10_000).granted).to.equal(1e9);
});

it('quota ledger: a smaller share counts at once, a larger one once no other replica may have it', () => {
  const ledger = createLedger();
  const [ownUrl] = URLS;
  ledger.setGroup({ownUrl, urls: [...URLS, 'http://e']}, 10_000);
  expect(ledger.currentShare).to.equal(1 / 5);
  expect(ask(ledger, OWN_CAPACITY, 10_000).granted).to.equal(0);
  ledger.setGroup({ownUrl, urls: URLS.slice(0, 2)}, 10_000);
  ask(ledger, 1, 12_400);
  expect(ledger.currentShare).to.equal(1 / 5);
  ask(ledger, 1, 12_500);
  expect(ledger.currentShare).to.equal(1 / 2);
});

it('quota ledger: a replica outside the group grants nothing, and a new one starts empty', () => {
  const ledger = createLedger('http://e');
  expect(ask(ledger, 1, 60_000).granted).to.equal(0);
  ledger.setGroup({ownUrl: 'http://e', urls: [...URLS, 'http://e']}, 60_000);
  expect(ask(ledger, 1, 62_499).granted).to.equal(0);
  expect(ask(ledger, 40, 62_600).granted).to.equal(0);
  expect(ask(ledger, 40, 62_800).granted).to.equal(40);
});

it('quota ledger: a lowered quota binds at once, and tenants that leave are forgotten', () => {
  const ledger = createLedger();
  const lowered = {...QUOTA, perSecond: 10, burst: 100};
  ledger.setTenants([{...TENANT, quota: lowered}], 0, 10_000);
  const limit = (100 + (0.1 * 180 + 600 / 2 - 3) / 2) / URLS.length;
  expect(ask(ledger, limit + 1, 10_000).granted).to.equal(0);
  expect(ask(ledger, limit, 10_000).granted).to.equal(limit);
  ledger.setTenants([], 11_000, 11_000);
  expect(ledger.hasTenant('t')).to.equal(false);
});

it('quota ledger: returned units are decided upon again in the same message', () => {
  const ledger = createLedger();
  expect(ask(ledger, OWN_CAPACITY, 10_000).granted).to.equal(OWN_CAPACITY);
  const request = {
    grants: [{tenant: 't', amount: 300, isDivisible: false}],
    returns: [{tenant: 't', amount: 300}],
  };
  expect(ledger.decide(request, 10_000).grants[0].granted).to.equal(300);
  expect(ask(ledger, 100, 10_000).granted).to.equal(0);
});
