import {expect} from 'chai';
import * as fc from 'fast-check';
import {PriorityScale} from '@marigoldspur/call-priority';

const ROUTES = [{priority: 0}, {priority: 1}, {priority: 2}];
const LEVELS = 10;

it('priority scale: without tenants a call has the priority of its route', () => {
  const scale = new PriorityScale(ROUTES, undefined);
  const levels = [...ROUTES, {priority: 12}].map(route =>
    scale.levelOf(route, undefined),
  );
  expect(levels).to.deep.equal([0, 1, 2, 9]);
});

// Guards against urgent calls that wait behind routine ones because all tenants have one priority.
it('priority scale: routes order the calls of tenants with the same priority', () => {
  const tenant = {priority: 1};
  const scale = new PriorityScale(ROUTES, [tenant, tenant]);
  const levels = ROUTES.map(route => scale.levelOf(route, tenant));
  expect(levels).to.deep.equal([...levels].sort());
  expect(new Set(levels).size).to.equal(ROUTES.length);
});

it('priority scale: a more urgent tenant comes first on every route', () => {
  const [urgent, routine] = [{priority: 0}, {priority: 3}];
  const scale = new PriorityScale(ROUTES, [urgent, routine]);
  const last = Math.max(...ROUTES.map(route => scale.levelOf(route, urgent)));
  const first = Math.min(...ROUTES.map(route => scale.levelOf(route, routine)));
  expect(last).to.be.below(first);
});

it('priority scale: levels are from 0 to 9 and follow the order of any priorities', () => {
  const holder = fc.record({priority: fc.nat(40)});
  fc.assert(
    fc.property(
      fc.array(holder, {minLength: 1, maxLength: 8}),
      fc.array(holder, {minLength: 1, maxLength: 8}),
      (routes, tenants) => {
        const scale = new PriorityScale(routes, tenants);
        const calls = tenants
          .flatMap(tenant => routes.map(route => ({route, tenant})))
          .sort(
            (a, b) =>
              a.tenant.priority - b.tenant.priority ||
              a.route.priority - b.route.priority,
          );
        const levels = calls.map(({route, tenant}) =>
          scale.levelOf(route, tenant),
        );
        expect(levels).to.deep.equal([...levels].sort((a, b) => a - b));
        expect(Math.min(...levels)).to.be.at.least(0);
        expect(Math.max(...levels)).to.be.below(LEVELS);
      },
    ),
    {seed: 7, numRuns: 200},
  );
});
