import {expect} from 'chai';
import {waitUntil, Fixture} from './agent-fixture.js';

it('refused loads: each request is refused immediately with a retry delay', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.refuses = true;
  const responses = await Promise.all(
    [1, 2].map(() => fixture.send(agent, {model: 'a@v1', budgetMs: 600_000})),
  );
  for (const response of responses) {
    expect(response.headers).to.include({
      'x-marigoldspur-outcome': 'not-run',
      'x-marigoldspur-reason': 'load_too_late',
      'retry-after': '7',
    });
  }
  expect(fixture.control.permitRequests[0].usefulMs).to.be.greaterThan(500_000);
});

it('refused loads: a load is useful until the first byte deadline of the entry', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.refuses = true;
  await fixture.send(agent, {
    model: 'a@v1',
    budgetMs: 600_000,
    firstByteMs: 30_000,
  });
  expect(fixture.control.permitRequests[0].usefulMs).to.be.at.most(30_000);
});

it('refused loads: the next request requests a load of the adapter again', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.refuses = true;
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.refuses = false;
  const response = await fixture.send(agent, {model: 'a@v1'});
  expect(response.whole).to.equal(true);
});

it('load report: lists the resident adapters, and no pinned ones once no request runs', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'a@v1'});
  const reports = () =>
    [...fixture.control.members.values()].map(member => member.target?.load);
  await waitUntil(() =>
    reports().some(report => report?.resident.includes('a@v1')),
  );
  const idle = await waitUntil(() =>
    reports().some(report => report?.pinned?.length === 0),
  );
  expect(idle).to.equal(true);
});
