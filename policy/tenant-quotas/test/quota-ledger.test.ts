import {expect} from 'chai';
import type {Quota, Tenant} from '@marigoldspur/deployment';
import {
  elapsedMs,
  quotaCost,
  quotaRole,
  QuotaLedger,
} from '@marigoldspur/tenant-quotas';

const QUOTA: Quota = {
  unit: 'tokens',
  perSecond: 1_000,
  burst: 2_000,
  defaultCost: 700,
};
const TENANT: Tenant = {name: 't', keys: [], quota: QUOTA};
const URLS = ['http://a', 'http://b', 'http://c'];
const TOLERANCE = {windowMs: 8_000, ratio: 0.1, slack: 500};
/** 0.6 of a tenth of 8 s at the rate and the burst, and of the slack. */
const STAND_IN_LIMIT = 0.6 * (0.1 * 10_000 + 500);

/** URL of the replica with a role for the tenant. */
function urlOf(role: string, urls = URLS): string {
  return urls.find(url => quotaRole('t', urls, url) === role)!;
}

function createLedger(role: string, now = 0): QuotaLedger {
  const group = {ownUrl: urlOf(role), urls: URLS};
  const ledger = new QuotaLedger({tolerance: TOLERANCE, group}, now);
  ledger.setTenants([TENANT], now, now);
  return ledger;
}

function ask(ledger: QuotaLedger, amount: number, now: number, tenant = 't') {
  const request = {grants: [{tenant, amount}], returns: []};
  return ledger.decide(request, now).grants[0];
}

it('quota cost: stated tokens, the default without them, or one for each request', () => {
  expect(quotaCost(QUOTA, 1_540)).to.equal(1_540);
  expect(quotaCost(QUOTA, undefined)).to.equal(700);
  expect(quotaCost({...QUOTA, unit: 'requests'}, 1_540)).to.equal(1);
});

it('quota ledger: the primary grants by its bucket, and states when there is room', () => {
  const ledger = createLedger('primary');
  const granted = {isGranted: true, waitMs: 0, role: 'primary'};
  expect(ask(ledger, 2_000, 10_000)).to.deep.equal(granted);
  const refused = {isGranted: false, waitMs: 500, role: 'primary'};
  expect(ask(ledger, 500, 10_000)).to.deep.equal(refused);
  expect(ask(ledger, 500, 10_500)).to.deep.equal(granted);
});

it('quota ledger: an amount above the burst is refused with a long wait', () => {
  const ledger = createLedger('primary');
  const refused = {isGranted: false, waitMs: 60_000, role: 'primary'};
  expect(ask(ledger, 2_001, 10_000)).to.deep.equal(refused);
  expect(ask(ledger, 2_000, 10_000).isGranted).to.equal(true);
});

it('quota ledger: a primary that has just started leaves to the stand-in what it lacks', () => {
  const ledger = createLedger('primary');
  const refused = {isGranted: false, waitMs: 400, role: 'none'};
  expect(ask(ledger, 500, 100)).to.deep.equal(refused);
  expect(ask(ledger, 100, 100).isGranted).to.equal(true);
});

it('quota ledger: the stand-in grants its budget in a window, but not right after its start', () => {
  const ledger = createLedger('stand-in');
  expect(ask(ledger, 1, 8_200).role).to.equal('none');
  expect(ask(ledger, STAND_IN_LIMIT, 9_000).isGranted).to.equal(true);
  const {isGranted, role, waitMs} = ask(ledger, 1, 10_000);
  expect({isGranted, role}).to.deep.equal({isGranted: false, role: 'stand-in'});
  expect(waitMs).to.be.within(7_300, 7_600);
  expect(ask(ledger, 1, 10_000 + waitMs).isGranted).to.equal(true);
});

it('quota ledger: a stand-in leaves to the primary what exceeds its whole budget', () => {
  const ledger = createLedger('stand-in');
  const refused = {isGranted: false, waitMs: 0, role: 'none'};
  expect(ask(ledger, STAND_IN_LIMIT + 1, 9_000)).to.deep.equal(refused);
});

it('quota ledger: replicas without a role, and for unknown tenants, grant nothing', () => {
  const nothing = {isGranted: false, waitMs: 0, role: 'none'};
  expect(ask(createLedger('none'), 1, 60_000)).to.deep.equal(nothing);
  const primary = createLedger('primary');
  expect(ask(primary, 1, 60_000, 'other')).to.deep.equal(nothing);
});

it('quota ledger: a replica that becomes primary starts empty, once no earlier primary may grant', () => {
  const ledger = createLedger('primary');
  const ownUrl = urlOf('primary');
  const without = URLS.filter(url => url !== ownUrl);
  expect(ledger.setGroup({ownUrl, urls: without}, 10_000)).to.equal(true);
  expect(ask(ledger, 1, 10_000).role).to.equal('none');
  expect(ledger.setGroup({ownUrl, urls: URLS}, 10_100)).to.equal(true);
  expect(ask(ledger, 1, 11_500).isGranted).to.equal(false);
  expect(ask(ledger, 400, 12_000).isGranted).to.equal(true);
  expect(ask(ledger, 200, 12_000).isGranted).to.equal(false);
});

it('quota ledger: a change of the replicas that keeps the role keeps the bucket', () => {
  const ledger = createLedger('primary');
  const ownUrl = urlOf('primary');
  const urls = URLS.filter(url => url !== urlOf('none'));
  expect(ledger.setGroup({ownUrl, urls}, 10_000)).to.equal(false);
  expect(ask(ledger, 2_000, 10_000).isGranted).to.equal(true);
});

it('quota ledger: a lowered quota binds at once, and tenants that leave are forgotten', () => {
  const ledger = createLedger('primary');
  const lowered = {...QUOTA, perSecond: 10, burst: 100};
  ledger.setTenants([{...TENANT, quota: lowered}], 10_000, 10_000);
  expect(ask(ledger, 101, 10_000).isGranted).to.equal(false);
  expect(ask(ledger, 100, 10_000).isGranted).to.equal(true);
  ledger.setTenants([], 11_000, 11_000);
  expect(ledger.hasTenant('t')).to.equal(false);
  expect(ledger.roleCounts()).to.deep.equal({
    primary: 0,
    'stand-in': 0,
    none: 0,
  });
});

it('quota ledger: a tenant whose quota was removed is granted everything', () => {
  const ledger = createLedger('primary');
  ledger.setTenants([{...TENANT, quota: undefined}], 10_000, 10_000);
  expect(ask(ledger, 1e9, 10_000).isGranted).to.equal(true);
});

it('quota ledger: returned units are decided upon again in the same message', () => {
  const ledger = createLedger('primary');
  expect(ask(ledger, 2_000, 10_000).isGranted).to.equal(true);
  const request = {
    grants: [{tenant: 't', amount: 1_500}],
    returns: [{tenant: 't', amount: 1_500}],
  };
  expect(ledger.decide(request, 10_000).grants[0].isGranted).to.equal(true);
  expect(ask(ledger, 100, 10_000).isGranted).to.equal(false);
});

it('elapsed time: it is infinite if the machine may have been suspended', () => {
  const start = {monotonicMs: 1_000, wallMs: 50_000};
  const at = (monotonicMs: number, wallMs: number) =>
    elapsedMs(start, {monotonicMs, wallMs});
  expect(at(1_300, 50_310)).to.equal(310);
  expect(at(1_300, 60_000)).to.equal(Infinity);
  expect(at(1_300, 40_000)).to.equal(Infinity);
});
