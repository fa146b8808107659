import {expect} from 'chai';
import {waitUntil, Fixture} from './agent-fixture.js';

async function loadsOf(fixture: Fixture, model: string) {
  const orders = await fixture.fetchOrderRecords();
  return orders.filter(
    order => order.order === 'load' && order.model === model,
  );
}

it('loads: requests for one adapter share a load', async () => {
  const {fixture, agent} = await Fixture.start();
  const responses = await Promise.all(
    [1, 2, 3, 4].map(() => fixture.send(agent, {model: 'a@v1'})),
  );
  expect(responses.every(response => response.whole)).to.equal(true);
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: a load that is confirmed but not executed is refused and retried later', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.setFaults({lieLoads: 1});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'load_failed',
    'retry-after': '1',
  });
  const reloaded = await waitUntil(async () => {
    const response = await fixture.send(agent, {model: 'a@v1'});
    return response.status === 200 && response;
  });
  expect(reloaded.whole).to.equal(true);
});

it('loads: a failed load is not retried immediately', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.setFaults({failLoads: 1});
  const responses = [];
  for (let sent = 0; sent < 3; sent += 1) {
    responses.push(await fixture.send(agent, {model: 'a@v1'}));
  }
  expect(responses.map(response => response.status)).to.deep.equal([
    503, 503, 503,
  ]);
  expect(responses[2].headers['x-marigoldspur-reason']).to.equal('load_failed');
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: an adapter that is listed but not served is reloaded', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.setFaults({halfLoads: 1});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'adapter_not_held',
  });
  await waitUntil(async () => {
    const response = await fixture.send(agent, {model: 'a@v1'});
    return response.whole;
  });
  const orders = (await fixture.fetchOrderRecords()).map(order => order.order);
  expect(orders).to.deep.equal(['load', 'unload', 'load']);
});

it('loads: an adapter whose digest differs from its version is never used', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.setFaults({wrongLoads: 2});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'wrong_digest',
    'retry-after': '1',
  });
  await waitUntil(async () => {
    const response = await fixture.send(agent, {model: 'a@v1'});
    return response.whole && response.status === 200;
  });
  const orders = (await fixture.fetchOrderRecords()).map(order => order.order);
  expect(orders).to.deep.equal(['load', 'unload', 'load', 'unload', 'load']);
  expect(await fixture.fetchRunRecords()).to.have.length(1);
  expect(await fixture.fetchEvents(agent)).to.include('digest-differs');
});

it('loads: the digest of an adapter that is resident at the start of the agent is checked', async () => {
  const fixture = new Fixture();
  await fixture.startTarget();
  await fetch(`${fixture.engine.url}/v1/load_lora_adapter`, {
    method: 'POST',
    body: JSON.stringify({lora_name: 'a@v1', lora_path: 'd2'}),
  });
  const agent = await fixture.startAgent();
  await fixture.waitUntilServing(agent);
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers['x-marigoldspur-reason']).to.equal('wrong_digest');
  expect(await fixture.fetchRunRecords()).to.deep.equal([]);
});

it('loads: the result of an order with a lost response is read from the engine', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1});
  await fixture.setFaults({loseLoadAnswers: 1, loseUnloadAnswers: 1});
  const first = await fixture.send(agent, {model: 'a@v1'});
  const second = await fixture.send(agent, {model: 'b@v1'});
  expect([first.whole, second.whole]).to.deep.equal([true, true]);
  const orders = (await fixture.fetchOrderRecords()).map(
    order => `${order.order} ${order.model}`,
  );
  expect(orders).to.deep.equal(['load a@v1', 'unload a@v1', 'load b@v1']);
});

it('loads: a load that is confirmed after its timeout is detected as done', async () => {
  const {fixture, agent} = await Fixture.start({loadTimeoutMs: 300});
  await fixture.setFaults({lateConfirmMs: 2_000});
  const response = await fixture.send(agent, {model: 'a@v1'});
  expect(response.whole).to.equal(true);
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: an engine with fewer slots than it reports still serves requests', async () => {
  const {fixture, agent} = await Fixture.start({slots: 2});
  await fixture.setFaults({hiddenSlots: 1});
  for (const model of ['a@v1', 'b@v1', 'a@v1']) {
    const response = await fixture.send(agent, {model});
    expect(response.whole, model).to.equal(true);
  }
});

it('loads: adapters are reloaded after the engine restarts', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'a@v1'});
  await fixture.setFaults({restart: true});
  const response = await waitUntil(async () => {
    const sent = await fixture.send(agent, {model: 'a@v1'});
    const outcome = sent.headers['x-marigoldspur-outcome'];
    expect(outcome).to.be.oneOf([undefined, 'not-run']);
    return sent.status === 200 && sent;
  });
  expect(response.whole).to.equal(true);
});

it('loads: a load during which the engine restarts does not count as loaded', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.setFaults({slowLoadMs: 300});
  const sent = fixture.send(agent, {model: 'a@v1'});
  await waitUntil(async () => (await loadsOf(fixture, 'a@v1')).length === 1);
  await fixture.setFaults({restart: true});
  const response = await sent;
  const outcome = response.headers['x-marigoldspur-outcome'];
  expect(response.whole || outcome === 'not-run').to.equal(true);
});

it('loads: an adapter is not evicted while the load that replaces it waits for a permit', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1});
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.grants = false;
  const waiting = fixture.send(agent, {model: 'b@v1'});
  await waitUntil(() =>
    fixture.control.permitRequests.some(request => request.model === 'b@v1'),
  );
  const resident = await fixture.send(agent, {model: 'a@v1', budgetMs: 2_000});
  expect(resident.whole).to.equal(true);
  fixture.control.grants = true;
  expect((await waiting).whole).to.equal(true);
});

it('loads: the agent uses its local limit while control is unreachable', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.isUnresponsive = true;
  const response = await fixture.send(agent, {model: 'a@v1'});
  expect(response.whole).to.equal(true);
  fixture.control.isUnresponsive = false;
});

it('loads: each permit request lists all adapters that are loading or requested', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.grants = false;
  const responses = ['a@v1', 'b@v1'].map(model => fixture.send(agent, {model}));
  await waitUntil(() =>
    fixture.control.permitRequests.some(
      ({loading}) => loading?.join() === 'a@v1,b@v1',
    ),
  );
  fixture.control.grants = true;
  for (const response of await Promise.all(responses)) {
    expect(response.whole).to.equal(true);
  }
});
