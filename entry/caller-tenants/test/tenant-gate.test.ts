import {inspect} from 'node:util';
import {expect} from 'chai';
import type {Deployment, Tenant} from '@marigoldspur/deployment';
import {TenantGate} from '@marigoldspur/caller-tenants';

const KEY = 'secret-key-1';
const ROUTE = {};
const PUBLIC_ROUTE = {isPublic: true};

let deployment: Deployment | undefined;
let isFresh: boolean;
let outcomes: string[];
let earlyQueries: number;
let gate: TenantGate;

beforeEach(() => {
  deployment = createDeployment(1, [{name: 'ann', keys: [KEY], priority: 2}]);
  isFresh = true;
  outcomes = [];
  earlyQueries = 0;
  gate = new TenantGate({
    deployment: () => deployment,
    freshness: {isFresh: () => isFresh},
    clock: () => ({monotonicMs: 0, wallMs: 0}),
    onUnconfirmed: () => (earlyQueries += 1),
    metrics: {recordCall: outcome => outcomes.push(outcome)},
  });
});

function createDeployment(
  revision: number,
  tenants: Tenant[] | undefined,
): Deployment {
  const limits = {
    maxHeaderBytes: 1_000,
    maxBodyBytes: 1_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs: 1_000,
  };
  return {revision, routes: [], services: [], limits, tenants};
}

it('tenant gate: a key that is removed while its call waits is refused as not run', () => {
  const access = gate.admit(KEY, ROUTE);
  expect(access.findRefusal()).to.equal(undefined);
  deployment = createDeployment(2, [{name: 'ann', keys: ['other']}]);
  expect(access.findRefusal()).to.include({
    status: 401,
    reason: 'unknown_key',
    outcome: 'not-run',
  });
  expect(access.tenant).to.equal(undefined);
});

it('tenant gate: a key that moves to another tenant while its call waits belongs to that one', () => {
  const access = gate.admit(KEY, ROUTE);
  expect(access.tenant?.name).to.equal('ann');
  deployment = createDeployment(2, [
    {name: 'ann', keys: []},
    {name: 'bo', keys: [KEY]},
  ]);
  expect(access.findRefusal()).to.equal(undefined);
  expect(access.tenant?.name).to.equal('bo');
});

it('tenant gate: a call that waits is refused once the configuration is not confirmed any more, and asks control', () => {
  const access = gate.admit(KEY, ROUTE);
  isFresh = false;
  expect(access.findRefusal()).to.include({
    status: 503,
    reason: 'configuration_unconfirmed',
    outcome: 'not-run',
  });
  expect(earlyQueries).to.equal(1);
  isFresh = true;
  expect(access.findRefusal()).to.equal(undefined);
});

it('tenant gate: an unknown key gets 401 only while the configuration is confirmed', () => {
  const access = gate.admit('other', ROUTE);
  expect(access.findRefusal()?.status).to.equal(401);
  isFresh = false;
  expect(access.findRefusal()?.status).to.equal(503);
});

it('tenant gate: on a public route a key that is removed makes its call one without a tenant', () => {
  const access = gate.admit(KEY, PUBLIC_ROUTE);
  expect(access.tenant?.name).to.equal('ann');
  deployment = createDeployment(2, []);
  expect(access.findRefusal()).to.equal(undefined);
  expect(access.tenant).to.equal(undefined);
  expect(access.hidesKey).to.equal(true);
});

it('tenant gate: a key stays hidden from targets when tenants come or go while its call waits', () => {
  const before = gate.admit(KEY, ROUTE);
  deployment = createDeployment(2, undefined);
  expect(before.hidesKey).to.equal(true);
  const between = gate.admit(KEY, ROUTE);
  expect(between.hidesKey).to.equal(false);
  deployment = createDeployment(3, [{name: 'ann', keys: [KEY]}]);
  expect(between.hidesKey).to.equal(true);
});

it('tenant gate: without a bound on revocation, the applied configuration decides', () => {
  const unbounded = new TenantGate({
    deployment: () => deployment,
    clock: () => ({monotonicMs: 0, wallMs: 0}),
    onUnconfirmed: () => {},
    metrics: {recordCall: () => {}},
  });
  expect(unbounded.admit(KEY, ROUTE).findRefusal()).to.equal(undefined);
  expect(unbounded.admit('x', ROUTE).findRefusal()?.status).to.equal(401);
});

it('tenant gate: calls are counted by outcome; calls that no key concerns are not', () => {
  gate.admit(KEY, ROUTE);
  gate.admit('other', ROUTE);
  gate.admit(undefined, ROUTE);
  gate.admit(undefined, PUBLIC_ROUTE);
  isFresh = false;
  gate.admit(KEY, PUBLIC_ROUTE);
  deployment = createDeployment(2, undefined);
  gate.admit(KEY, ROUTE);
  expect(outcomes).to.deep.equal([
    'allowed',
    'unknown_key',
    'unknown_key',
    'unconfirmed',
  ]);
});

it('tenant gate: neither an access nor a refusal holds the key', () => {
  const options = {depth: Infinity, showHidden: true};
  const access = gate.admit('wrong-secret', ROUTE);
  for (const printed of [access, access.findRefusal(), gate]) {
    expect(inspect(printed, options)).to.not.include('wrong-secret');
  }
});
