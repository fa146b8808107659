import {expect} from 'chai';
import {waitUntil, Fixture, type StartedAgent} from './agent-fixture.js';

let fixture: Fixture;
let agent: StartedAgent;

before(async () => {
  ({fixture, agent} = await Fixture.start({slots: 4}));
});

afterEach(() => fixture.setFaults({}));

it('responses: a complete response of the requested version is relayed completely', async () => {
  for (const stream of [true, false]) {
    const response = await fixture.send(agent, {model: 'a@v1', stream});
    expect(response).to.include({status: 200, whole: true});
    expect(response.text).to.include('"model":"a@v1"');
  }
});

it('responses: two versions of one adapter run concurrently', async () => {
  const models = ['a@v1', 'a@v2', 'a@v1', 'a@v2'];
  const responses = await Promise.all(
    models.map(model => fixture.send(agent, {model})),
  );
  const ran = responses.map(
    response => (JSON.parse(response.text) as never)['model'],
  );
  expect(ran).to.deep.equal(models);
});

it('responses: a response truncated at any byte is never relayed as complete', async () => {
  for (const stream of [true, false]) {
    const sending = {model: 'a@v1', request: 'cut', tokens: 1, stream};
    const whole = await fixture.send(agent, {...sending, attempt: 9_999});
    const length = Buffer.byteLength(whole.text);
    for (let at = 0; at < length; at += 1) {
      await fixture.setFaults({cutAfterBytes: at, cutAnswers: 1});
      const cut = await fixture
        .send(agent, {...sending, attempt: at + (stream ? 0 : 5_000)})
        .catch(() => undefined);
      const clean = cut !== undefined && cut.status === 200 && cut.whole;
      expect(clean, `cut after ${at} of ${length} bytes`).to.equal(false);
    }
  }
});

it('responses: a stream without its end marker is relayed as incomplete', async () => {
  await fixture.setFaults({dropDone: 1});
  const response = await fixture
    .send(agent, {model: 'a@v1', stream: true})
    .catch(() => undefined);
  expect(response?.whole ?? false).to.equal(false);
});

it('responses: a response that is sent twice is relayed as incomplete', async () => {
  for (const stream of [true, false]) {
    await fixture.setFaults({doubleAnswers: 1});
    const response = await fixture
      .send(agent, {model: 'a@v1', stream})
      .catch(() => undefined);
    expect(response?.status === 200 && response.whole).to.equal(false);
  }
});

it('responses: a response to another request is refused with an unknown outcome and not relayed', async () => {
  for (const stream of [true, false]) {
    await fixture.setFaults({crossAnswers: 1});
    const response = await fixture.send(agent, {model: 'a@v1', stream});
    expect(response.status).to.equal(502);
    expect(response.text).to.not.include('other@v1');
    expect(response.headers).to.include({
      'x-marigoldspur-outcome': 'unknown',
      'x-marigoldspur-reason': 'crossed_answer',
    });
  }
});

it('responses: a response of another boot is refused with an unknown outcome', async () => {
  const {fixture: other, agent: slow} = await Fixture.start({
    healthIntervalMs: 600_000,
  });
  await other.send(slow, {model: 'a@v1'});
  await other.setFaults({restart: true});
  await fetch(`${other.engine.url}/v1/load_lora_adapter`, {
    method: 'POST',
    body: JSON.stringify({lora_name: 'a@v1'}),
  });
  const response = await other.send(slow, {model: 'a@v1'});
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'unknown',
    'x-marigoldspur-reason': 'crossed_answer',
  });
});

it('responses: an engine failure results in a refusal with the outcome failed', async () => {
  await fixture.setFaults({failRequests: 1});
  const response = await fixture.send(agent, {model: 'a@v1'});
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'failed',
    'retry-after': '1',
  });
});

it('responses: an attempt on a frozen engine is refused with an unknown outcome within its budget', async () => {
  const {fixture: other, agent: otherAgent} = await Fixture.start({
    healthIntervalMs: 600_000,
  });
  await other.send(otherAgent, {model: 'a@v1'});
  await other.setFaults({freeze: true});
  const response = await other.send(otherAgent, {model: 'a@v1', budgetMs: 200});
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'unknown',
    'x-marigoldspur-reason': 'no_answer_in_time',
  });
});

it('responses: an attempt is refused before it is sent if the engine does not respond', async () => {
  await fixture.setFaults({freeze: true});
  const response = await waitUntil(async () => {
    const sent = await fixture.send(agent, {model: 'a@v1', budgetMs: 50});
    return sent.headers['x-marigoldspur-reason'] === 'target_down' && sent;
  });
  expect(response.headers['x-marigoldspur-outcome']).to.equal('not-run');
});
