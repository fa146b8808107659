import {expect} from 'chai';
import type {Deployment, Route} from '@marigoldspur/deployment';
import {chooseBackend, RouteTable} from '@marigoldspur/routes';

function route(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/x/',
    streaming: false,
    idempotent: true,
    timeoutMs: 1_000,
    latencyObjectiveMs: 100,
    priority: 1,
    maxAttempts: 1,
    backends: [{service: 's', weight: 1}],
    ...changes,
  };
}

function table(routes: Route[]): RouteTable {
  const deployment: Deployment = {
    revision: 1,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
  return new RouteTable(deployment);
}

it('routes: the longest path prefix of the host is chosen', () => {
  const routes = table([
    route({name: 'short'}),
    route({name: 'long', pathPrefix: '/x/y/'}),
    route({name: 'other', host: 'b.example', pathPrefix: '/x/y/z/'}),
  ]);
  expect(routes.findRoute('a.example', '/x/y/z/1')?.name).to.equal('long');
  expect(routes.findRoute('A.example:80', '/x/1?q=/x/y/')?.name).to.equal(
    'short',
  );
  expect(routes.findRoute('a.example', '/xy/1')).to.equal(undefined);
  expect(routes.findRoute('c.example', '/x/1')).to.equal(undefined);
});

it('routes: requests are split by weight, and the same key always gets the same service', () => {
  const split = route({
    backends: [
      {service: 'most', weight: 90},
      {service: 'none', weight: 0},
      {service: 'few', weight: 10},
    ],
  });
  const counts: Record<string, number> = {};
  for (let key = 0; key < 2_000; key += 1) {
    const service = chooseBackend(split, `key-${key}`);
    counts[service] = (counts[service] ?? 0) + 1;
    expect(chooseBackend(split, `key-${key}`)).to.equal(service);
  }
  expect(counts.none).to.equal(undefined);
  expect(counts.few).to.be.within(130, 270);
});
