import {expect} from 'chai';
import {eventually, Fixture} from './agent-fixture.js';

async function loadsOf(fixture: Fixture, model: string) {
  const orders = await fixture.orders();
  return orders.filter(
    order => order.order === 'load' && order.model === model,
  );
}

it('loads: requests for one adapter share a load', async () => {
  const {fixture, agent} = await Fixture.start();
  const answers = await Promise.all(
    [1, 2, 3, 4].map(() => fixture.send(agent, {model: 'a@v1'})),
  );
  expect(answers.every(answer => answer.whole)).to.equal(true);
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: one that is confirmed but not done is refused and tried again later', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.faults({lieLoads: 1});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'load_failed',
    'retry-after': '1',
  });
  const again = await eventually(async () => {
    const answer = await fixture.send(agent, {model: 'a@v1'});
    return answer.status === 200 && answer;
  });
  expect(again.whole).to.equal(true);
});

it('loads: a failed one is not tried again at once', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.faults({failLoads: 1});
  const answers = [];
  for (let sent = 0; sent < 3; sent += 1) {
    answers.push(await fixture.send(agent, {model: 'a@v1'}));
  }
  expect(answers.map(answer => answer.status)).to.deep.equal([503, 503, 503]);
  expect(answers[2].headers['x-marigoldspur-reason']).to.equal('load_failed');
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: an adapter that is listed but not served is loaded anew', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.faults({halfLoads: 1});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'adapter_not_held',
  });
  await eventually(async () => {
    const answer = await fixture.send(agent, {model: 'a@v1'});
    return answer.whole;
  });
  const orders = (await fixture.orders()).map(order => order.order);
  expect(orders).to.deep.equal(['load', 'unload', 'load']);
});

it('loads: an adapter with other weights than its version names is never used', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.faults({wrongLoads: 2});
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'wrong_digest',
    'retry-after': '1',
  });
  await eventually(async () => {
    const answer = await fixture.send(agent, {model: 'a@v1'});
    return answer.whole && answer.status === 200;
  });
  const orders = (await fixture.orders()).map(order => order.order);
  expect(orders).to.deep.equal(['load', 'unload', 'load', 'unload', 'load']);
  expect(await fixture.record()).to.have.length(1);
  expect(await fixture.events(agent)).to.include('digest-differs');
});

it('loads: weights that an agent finds at its start are checked as well', async () => {
  const fixture = new Fixture();
  await fixture.startTarget();
  await fetch(`${fixture.engine.url}/v1/load_lora_adapter`, {
    method: 'POST',
    body: JSON.stringify({lora_name: 'a@v1', lora_path: 'd2'}),
  });
  const agent = await fixture.startAgent();
  await fixture.serving(agent);
  const refused = await fixture.send(agent, {model: 'a@v1'});
  expect(refused.headers['x-marigoldspur-reason']).to.equal('wrong_digest');
  expect(await fixture.record()).to.deep.equal([]);
});

it('loads: a lost answer is settled by asking the engine', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1});
  await fixture.faults({loseLoadAnswers: 1, loseUnloadAnswers: 1});
  const first = await fixture.send(agent, {model: 'a@v1'});
  const second = await fixture.send(agent, {model: 'b@v1'});
  expect([first.whole, second.whole]).to.deep.equal([true, true]);
  const orders = (await fixture.orders()).map(
    order => `${order.order} ${order.model}`,
  );
  expect(orders).to.deep.equal(['load a@v1', 'unload a@v1', 'load b@v1']);
});

it('loads: one that is confirmed after its timeout is found done', async () => {
  const {fixture, agent} = await Fixture.start({loadTimeoutMs: 300});
  await fixture.faults({lateConfirmMs: 2_000});
  const answer = await fixture.send(agent, {model: 'a@v1'});
  expect(answer.whole).to.equal(true);
  expect(await loadsOf(fixture, 'a@v1')).to.have.length(1);
});

it('loads: an engine with a slot less than it says still serves', async () => {
  const {fixture, agent} = await Fixture.start({slots: 2});
  await fixture.faults({hiddenSlots: 1});
  for (const model of ['a@v1', 'b@v1', 'a@v1']) {
    const answer = await fixture.send(agent, {model});
    expect(answer.whole, model).to.equal(true);
  }
});

it('loads: an engine that restarts empty is loaded again', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.send(agent, {model: 'a@v1'});
  await fixture.faults({restart: true});
  const answer = await eventually(async () => {
    const sent = await fixture.send(agent, {model: 'a@v1'});
    const outcome = sent.headers['x-marigoldspur-outcome'];
    expect(outcome).to.be.oneOf([undefined, 'not-run']);
    return sent.status === 200 && sent;
  });
  expect(answer.whole).to.equal(true);
});

it('loads: a restart during a load does not count as loaded', async () => {
  const {fixture, agent} = await Fixture.start();
  await fixture.faults({slowLoadMs: 300});
  const sent = fixture.send(agent, {model: 'a@v1'});
  await eventually(async () => (await loadsOf(fixture, 'a@v1')).length === 1);
  await fixture.faults({restart: true});
  const answer = await sent;
  const outcome = answer.headers['x-marigoldspur-outcome'];
  expect(answer.whole || outcome === 'not-run').to.equal(true);
});

it('loads: an adapter stays while the load in its place waits for a permit', async () => {
  const {fixture, agent} = await Fixture.start({slots: 1});
  await fixture.send(agent, {model: 'a@v1'});
  fixture.control.grants = false;
  const waiting = fixture.send(agent, {model: 'b@v1'});
  await eventually(() =>
    fixture.control.permitRequests.some(ask => ask.model === 'b@v1'),
  );
  const hot = await fixture.send(agent, {model: 'a@v1', budgetMs: 2_000});
  expect(hot.whole).to.equal(true);
  fixture.control.grants = true;
  expect((await waiting).whole).to.equal(true);
});

it('loads: while control is away the agent loads at its share', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.away = true;
  const answer = await fixture.send(agent, {model: 'a@v1'});
  expect(answer.whole).to.equal(true);
  fixture.control.away = false;
});

it('loads: each question for a permit names all that the agent loads or waits for', async () => {
  const {fixture, agent} = await Fixture.start();
  fixture.control.grants = false;
  const answers = ['a@v1', 'b@v1'].map(model => fixture.send(agent, {model}));
  await eventually(() =>
    fixture.control.permitRequests.some(
      ({loading}) => loading?.join() === 'a@v1,b@v1',
    ),
  );
  fixture.control.grants = true;
  for (const answer of await Promise.all(answers)) {
    expect(answer.whole).to.equal(true);
  }
});
