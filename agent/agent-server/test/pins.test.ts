import {expect} from 'chai';
import {
  waitUntil,
  Fixture,
  type AgentResponse,
  type StartedAgent,
} from './agent-fixture.js';

/** Starts a long stream on `a@v1` and resolves after its first chunk. */
async function stream(
  fixture: Fixture,
  agent: StartedAgent,
  signal?: AbortSignal,
): Promise<{response: Promise<AgentResponse | undefined>}> {
  let hasStarted = false;
  const response = fixture
    .send(agent, {
      model: 'a@v1',
      stream: true,
      tokens: 100,
      signal,
      onData: () => {
        hasStarted = true;
      },
    })
    .catch(() => undefined);
  await waitUntil(() => hasStarted);
  return {response};
}

async function expectNoneEvictedInUse(fixture: Fixture): Promise<void> {
  const orders = await fixture.fetchOrderRecords();
  expect(orders.some(order => order.order === 'unload')).to.equal(true);
  expect(orders.filter(order => order.evictedInUse)).to.deep.equal([]);
}

it('pins: an adapter in use is not evicted to load another one', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1, tokenMs: 5});
  const running = await stream(fixture, agent);
  const other = await fixture.send(agent, {model: 'b@v1'});
  expect(other.whole).to.equal(true);
  expect((await running.response)?.whole).to.equal(true);
  await expectNoneEvictedInUse(fixture);
});

it('pins: a cancelled stream keeps its adapter pinned until the engine has stopped it', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1, tokenMs: 5});
  await fixture.setFaults({lateCancelMs: 300});
  const caller = new AbortController();
  const running = await stream(fixture, agent, caller.signal);
  caller.abort();
  await running.response;
  const other = await fixture.send(agent, {model: 'b@v1'});
  expect(other.whole).to.equal(true);
  await expectNoneEvictedInUse(fixture);
});

it('pins: an attempt over its budget keeps its adapter pinned until the engine has stopped it', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1, tokenMs: 5});
  await fixture.setFaults({lateCancelMs: 300});
  await fixture.send(agent, {model: 'a@v1', tokens: 100, budgetMs: 200});
  const other = await fixture.send(agent, {model: 'b@v1'});
  expect(other.whole).to.equal(true);
  await expectNoneEvictedInUse(fixture);
});

for (const fenceChecked of [true, false]) {
  const name = fenceChecked ? 'checks' : 'ignores';
  it(`pins: a newer agent takes over without evicting an adapter in use, while the engine ${name} fencing numbers`, async () => {
    const options = {slots: 1, tokenMs: 20, fenceChecked, orderLeaseMs: 500};
    const {fixture, agent: old} = await Fixture.start(options);
    const running = await stream(fixture, old);
    const fresh = await fixture.startAgent();
    await fixture.waitUntilServing(fresh);
    const byOld = await fixture.send(old, {model: 'c@v1', budgetMs: 500});
    const byFresh = await fixture.send(fresh, {model: 'b@v1'});
    expect(byOld.headers['x-marigoldspur-outcome']).to.equal('not-run');
    expect(byFresh.whole).to.equal(true);
    expect((await running.response)?.whole).to.equal(true);
    await expectNoneEvictedInUse(fixture);
    const late = await fixture.send(old, {model: 'c@v1', budgetMs: 500});
    const held = await fixture.send(old, {model: 'b@v1', budgetMs: 500});
    for (const refused of [late, held]) {
      expect(refused.headers['x-marigoldspur-outcome']).to.equal('not-run');
    }
    const orders = await fixture.fetchOrderRecords();
    const done = orders.filter(order => order.outcome === 'done');
    expect(done.map(order => order.model)).to.not.include('c@v1');
    const runs = await fixture.fetchRunRecords();
    expect(runs.map(run => run.model)).to.deep.equal(['a@v1', 'b@v1']);
  });
}
