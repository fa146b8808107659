import {expect} from 'chai';
import type {
  Deployment,
  EngineCapacity,
  Route,
  Tenant,
} from '@marigoldspur/deployment';
import {reviewDeployment} from '@marigoldspur/deployment-review';

const ROUTE: Route = {
  name: 'plain',
  host: 'a.example',
  pathPrefix: '/plain/',
  streaming: false,
  idempotent: true,
  timeoutMs: 2_000,
  latencyObjectiveMs: 500,
  priority: 5,
  maxAttempts: 2,
  backends: [{service: 'plain', weight: 1}],
};
const ENGINE: EngineCapacity = {
  batchLimit: 8,
  tokenMemory: 100_000,
  adapterSlots: 4,
  models: [{name: 'base', adapters: 3}],
};
const TENANT: Tenant = {
  name: 'ann',
  keys: ['secret-1', 'secret-2'],
  quota: {unit: 'tokens', perSecond: 100, burst: 500, defaultCost: 200},
};
const DEPLOYMENT: Deployment = {
  revision: 4,
  routes: [ROUTE],
  services: [{name: 'plain', healthPath: '/healthz', maxConnections: 9}],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 100_000,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** Findings as text: severity, place and reason. */
function review(changed: Partial<Deployment>, inForce?: Deployment): string[] {
  const findings = reviewDeployment({...DEPLOYMENT, ...changed}, inForce);
  return findings.map(
    ({severity, place, reason}) => `${severity} ${place}: ${reason}`,
  );
}

function reviewRoute(changed: Partial<Route>): string[] {
  return review({routes: [{...ROUTE, ...changed}]});
}

function reviewQuota(changed: Partial<NonNullable<Tenant['quota']>>): string[] {
  const quota = {...TENANT.quota!, ...changed};
  return review({tenants: [{...TENANT, quota}]});
}

function reviewEngine(changed: Partial<EngineCapacity>): string[] {
  const engine = {...ENGINE, ...changed};
  return review({services: [{...DEPLOYMENT.services[0], engine}]});
}

// Guards against findings about proper deployments, which would hide those that matter.
it('deployment review: a proper deployment has no findings', () => {
  expect(review({})).to.deep.equal([]);
  expect(review({tenants: [TENANT]})).to.deep.equal([]);
  expect(reviewEngine({})).to.deep.equal([]);
});

// Guards against routes that are reported although requests reach them: with prefixes of one host,
// the path that equals the shorter prefix matches only that one.
it('deployment review: a longer prefix does not cover a shorter one completely', () => {
  const longer = {...ROUTE, name: 'longer', pathPrefix: '/plain/more/'};
  const otherHost = {...ROUTE, name: 'other', host: 'b.example'};
  expect(review({routes: [ROUTE, longer, otherHost]})).to.deep.equal([]);
});

// Guards against routes that no request reaches and that the validation of deployments accepts.
it('deployment review: a route whose host matches no request, or only those of another route, is a warning', () => {
  const shadowed = {...ROUTE, name: 'shadowed', host: 'A.example'};
  expect(review({routes: [ROUTE, shadowed]})).to.deep.equal([
    'warning routes.shadowed: route "plain" takes all requests, because its host differs only in letter case and its prefix is the same',
  ]);
  expect(reviewRoute({host: 'a.example:80'})).to.deep.equal([
    'warning routes.plain: host "a.example:80" matches no request, because hosts are compared without their port',
  ]);
});

// Guards against services that get no requests unnoticed, also where a backend names them.
it('deployment review: services and backends without requests are warnings', () => {
  const [service] = DEPLOYMENT.services;
  const services = [service, {...service, name: 'spare'}];
  const unused = 'warning services.spare: no route sends requests to it';
  expect(review({services})).to.deep.equal([unused]);
  const backends = [...ROUTE.backends, {service: 'spare', weight: 0}];
  expect(review({services, routes: [{...ROUTE, backends}]})).to.deep.equal([
    'warning routes.plain: service "spare" gets no requests, because its weight is 0',
    unused,
  ]);
  expect(review({services: [service, service]})).to.deep.equal([
    'warning services.plain: a later service has the same name',
  ]);
});

// Guards against the expectation that requests which may have run are sent again.
it('deployment review: several attempts on a route whose requests may not run more than once are a warning', () => {
  expect(reviewRoute({idempotent: false})).to.deep.equal([
    'warning routes.plain: 2 attempts are allowed, but a request may not run more than once: only one that certainly did not run is sent again',
  ]);
  expect(reviewRoute({idempotent: false, maxAttempts: 1})).to.deep.equal([]);
});

// Guards against tenants and public routes that do not have the effect that an operator expects.
it('deployment review: tenants and public routes without effect are warnings', () => {
  const routes = [{...ROUTE, isPublic: true}];
  expect(review({routes})).to.deep.equal([
    'warning routes.plain: is public, but without tenants no route needs a key',
  ]);
  expect(review({routes, tenants: [TENANT]})).to.deep.equal([
    'warning tenants: all routes are public, so requests without a key are served as well, without the priority and quota of a tenant',
  ]);
  const keyless = {...TENANT, name: 'bo', keys: []};
  expect(review({tenants: [TENANT, keyless]})).to.deep.equal([
    'warning tenants.bo: has no keys, so no request belongs to it',
  ]);
  expect(review({tenants: []})).to.deep.equal([
    'warning tenants: no tenant has a key, so all requests on routes that are not public are refused',
  ]);
});

// Guards against times that cannot be kept because the timeout ends the request before.
it('deployment review: a latency objective or gap that is not below the timeout is a warning', () => {
  expect(reviewRoute({latencyObjectiveMs: 1_999})).to.deep.equal([]);
  expect(
    reviewRoute({latencyObjectiveMs: 2_000, maxGapMs: 2_001}),
  ).to.deep.equal([
    'warning routes.plain: the latency objective (2000 ms) is not below the timeout (2000 ms)',
    'warning routes.plain: the longest gap (2001 ms) is not below the timeout (2000 ms)',
  ]);
});

// Guards against quotas that refuse every request of their tenant.
it('deployment review: a burst that has no room for one request is a warning', () => {
  expect(reviewQuota({burst: 200})).to.deep.equal([]);
  expect(reviewQuota({burst: 199})).to.deep.equal([
    'warning tenants.ann: the burst of the quota (199) is below the cost of a request without stated tokens (200)',
  ]);
  expect(reviewQuota({unit: 'requests', burst: 0.5})).to.deep.equal([
    'warning tenants.ann: the burst of the quota (0.5) is below the cost of a request (1)',
  ]);
  expect(reviewQuota({burst: 0, defaultCost: 0})).to.deep.equal([
    'warning tenants.ann: the burst of the quota is 0, which leaves only what the tolerance of quotas allows',
  ]);
});

// Guards against models that are stated and that no engine can ever load.
it('deployment review: a model that is larger than the memory of an engine is a warning', () => {
  const model = {name: 'base', adapters: 3, weightsMb: 200};
  expect(reviewEngine({memoryMb: 200, models: [model]})).to.deep.equal([]);
  expect(reviewEngine({memoryMb: 199, models: [model]})).to.deep.equal([
    'warning services.plain: model "base" (200 MB) is larger than the memory of an engine (199 MB), so that no engine can load it',
  ]);
});

// Guards against limits of connections and engines that cannot both be used.
it('deployment review: contradicting timeouts of connections and adapters without slots are warnings', () => {
  const limits = {...DEPLOYMENT.limits, headerTimeoutMs: 15_001};
  expect(review({limits})).to.deep.equal([
    'warning limits: the timeout for headers (15001 ms) is above the one for idle connections (15000 ms)',
  ]);
  expect(reviewEngine({adapterSlots: 0})).to.deep.equal([
    'warning services.plain: engines have no slot for an adapter, but model "base" has adapters (3)',
  ]);
  const models = [{name: 'base', adapters: 0}];
  expect(reviewEngine({adapterSlots: 0, models})).to.deep.equal([]);
});

// Guards against a deployment that control accepts and then does not apply.
it('deployment review: a revision that is not higher than the one in force is an error', () => {
  expect(review({revision: 5}, DEPLOYMENT)).to.deep.equal([]);
  expect(review({revision: 4}, DEPLOYMENT)).to.deep.equal([
    'error revision: revision 4 is not higher than revision 4, which is in force',
  ]);
});

// Guards against changes that an operator sends without noticing them.
it('deployment review: added, removed and changed entries are changes', () => {
  const inForce = {
    ...DEPLOYMENT,
    services: [{...DEPLOYMENT.services[0], engine: ENGINE}],
  };
  const models = [{name: 'newer', adapters: 1}];
  const changed = {
    revision: 5,
    routes: [
      {...ROUTE, timeoutMs: 3_000, maxGapMs: 100, isPublic: false},
      {...ROUTE, name: 'second', pathPrefix: '/second/'},
    ],
    services: [
      {...inForce.services[0], engine: {...ENGINE, adapterSlots: 5, models}},
    ],
    limits: {...DEPLOYMENT.limits, maxBodyBytes: 1},
  };
  expect(review(changed, inForce)).to.deep.equal([
    'change routes.plain: timeout (ms): 2000 becomes 3000',
    'change routes.plain: longest gap (ms): none becomes 100',
    'change routes.second: is added',
    'change services.plain: adapter slots: 4 becomes 5',
    'change services.plain.models.newer: is added',
    'change services.plain.models.base: is removed',
    'change limits: size of a body (bytes): 100000 becomes 1',
  ]);
});

// Guards against a changed entry that hides behind another one of the same name.
it('deployment review: entries of the same name are compared one by one', () => {
  const second = {...ROUTE, pathPrefix: '/second/'};
  const inForce = {...DEPLOYMENT, routes: [ROUTE, second]};
  const routes = [{...ROUTE, priority: 1}, second];
  expect(review({revision: 5, routes}, inForce)).to.deep.equal([
    'change routes.plain: priority: 5 becomes 1',
  ]);
  expect(review({revision: 5}, inForce)).to.deep.equal([
    'change routes.plain (2): is removed',
  ]);
});

// Guards against keys that reach a terminal or a log by way of a finding.
it('deployment review: of keys only the numbers of added and removed ones are stated', () => {
  const inForce = {...DEPLOYMENT, tenants: [TENANT]};
  const keys = ['secret-2', 'secret-3', 'secret-4'];
  const other = {name: 'bo', keys: ['secret-5']};
  const tenants = [{...TENANT, keys, priority: 1, quota: undefined}, other];
  const findings = review({revision: 5, tenants}, inForce);
  expect(findings).to.deep.equal([
    'change tenants.ann: priority: none becomes 1',
    'change tenants.ann: unit of the quota: tokens becomes none',
    'change tenants.ann: rate of the quota (per second): 100 becomes none',
    'change tenants.ann: burst of the quota: 500 becomes none',
    'change tenants.ann: cost of a request without stated tokens: 200 becomes none',
    'change tenants.ann: keys: 2 added, 1 removed',
    'change tenants.bo: is added',
    'change tenants.bo: keys: 1 added, 0 removed',
  ]);
  expect(findings.join()).to.not.include('secret');
});

// Guards against a deployment that starts or stops asking for keys unnoticed.
it('deployment review: the first tenants and the end of tenants are changes', () => {
  const withTenants = {...DEPLOYMENT, tenants: [TENANT]};
  expect(review({revision: 5, tenants: [TENANT]}, DEPLOYMENT)).to.include(
    'change tenants: requests on routes that are not public need a key from now on',
  );
  expect(review({revision: 5}, withTenants)).to.include(
    'change tenants: requests on routes that are not public need no key any more',
  );
});
