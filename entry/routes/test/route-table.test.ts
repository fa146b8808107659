import {expect} from 'chai';
import type {Deployment, Route} from '@marigoldspur/deployment';
import {backendOf, RouteTable} from '@marigoldspur/routes';

function route(changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/x/',
    streaming: false,
    idempotent: true,
    timeoutMs: 1_000,
    aimMs: 100,
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

it('routes: the longest prefix of the host wins', () => {
  const routes = table([
    route({name: 'short'}),
    route({name: 'long', pathPrefix: '/x/y/'}),
    route({name: 'other', host: 'b.example', pathPrefix: '/x/y/z/'}),
  ]);
  expect(routes.find('a.example', '/x/y/z/1')?.name).to.equal('long');
  expect(routes.find('A.example:80', '/x/1?q=/x/y/')?.name).to.equal('short');
  expect(routes.find('a.example', '/xy/1')).to.equal(undefined);
  expect(routes.find('c.example', '/x/1')).to.equal(undefined);
});

it('routes: requests are split by weight, the same key always alike', () => {
  const split = route({
    backends: [
      {service: 'most', weight: 90},
      {service: 'none', weight: 0},
      {service: 'few', weight: 10},
    ],
  });
  const counts: Record<string, number> = {};
  for (let key = 0; key < 2_000; key += 1) {
    const service = backendOf(split, `key-${key}`);
    counts[service] = (counts[service] ?? 0) + 1;
    expect(backendOf(split, `key-${key}`)).to.equal(service);
  }
  expect(counts.none).to.equal(undefined);
  expect(counts.few).to.be.within(130, 270);
});
