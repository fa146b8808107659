import {expect} from 'chai';
import {eventually, Fixture, type StartedAgent} from './agent-fixture.js';

let fixture: Fixture;
let agent: StartedAgent;

before(async () => {
  ({fixture, agent} = await Fixture.start({slots: 4}));
});

afterEach(() => fixture.faults({}));

it('answers: a whole answer of the named version is relayed whole', async () => {
  for (const stream of [true, false]) {
    const answer = await fixture.send(agent, {model: 'a@v1', stream});
    expect(answer).to.include({status: 200, whole: true});
    expect(answer.text).to.include('"model":"a@v1"');
  }
});

it('answers: two versions of one adapter run side by side', async () => {
  const models = ['a@v1', 'a@v2', 'a@v1', 'a@v2'];
  const answers = await Promise.all(
    models.map(model => fixture.send(agent, {model})),
  );
  const ran = answers.map(
    answer => (JSON.parse(answer.text) as never)['model'],
  );
  expect(ran).to.deep.equal(models);
});

it('answers: one cut at any byte never ends as if whole', async () => {
  for (const stream of [true, false]) {
    const sending = {model: 'a@v1', request: 'cut', tokens: 1, stream};
    const whole = await fixture.send(agent, {...sending, attempt: 9_999});
    const length = Buffer.byteLength(whole.text);
    for (let at = 0; at < length; at += 1) {
      await fixture.faults({cutAfterBytes: at, cutAnswers: 1});
      const cut = await fixture
        .send(agent, {...sending, attempt: at + (stream ? 0 : 5_000)})
        .catch(() => undefined);
      const clean = cut !== undefined && cut.status === 200 && cut.whole;
      expect(clean, `cut after ${at} of ${length} bytes`).to.equal(false);
    }
  }
});

it('answers: a stream without its end marker is torn', async () => {
  await fixture.faults({dropDone: 1});
  const answer = await fixture
    .send(agent, {model: 'a@v1', stream: true})
    .catch(() => undefined);
  expect(answer?.whole ?? false).to.equal(false);
});

it('answers: one that came twice is torn', async () => {
  for (const stream of [true, false]) {
    await fixture.faults({doubleAnswers: 1});
    const answer = await fixture
      .send(agent, {model: 'a@v1', stream})
      .catch(() => undefined);
    expect(answer?.status === 200 && answer.whole).to.equal(false);
  }
});

it('answers: a crossed one is refused as unknown and nothing of it is relayed', async () => {
  for (const stream of [true, false]) {
    await fixture.faults({crossAnswers: 1});
    const answer = await fixture.send(agent, {model: 'a@v1', stream});
    expect(answer.status).to.equal(502);
    expect(answer.text).to.not.include('other@v1');
    expect(answer.headers).to.include({
      'x-marigoldspur-outcome': 'unknown',
      'x-marigoldspur-reason': 'crossed_answer',
    });
  }
});

it('answers: one of another boot is refused as unknown', async () => {
  const {fixture: other, agent: slow} = await Fixture.start({
    healthIntervalMs: 600_000,
  });
  await other.send(slow, {model: 'a@v1'});
  await other.faults({restart: true});
  await fetch(`${other.engine.url}/v1/load_lora_adapter`, {
    method: 'POST',
    body: JSON.stringify({lora_name: 'a@v1'}),
  });
  const answer = await other.send(slow, {model: 'a@v1'});
  expect(answer.headers).to.include({
    'x-marigoldspur-outcome': 'unknown',
    'x-marigoldspur-reason': 'crossed_answer',
  });
});

it('answers: a failure of the engine is a typed refusal', async () => {
  await fixture.faults({failRequests: 1});
  const answer = await fixture.send(agent, {model: 'a@v1'});
  expect(answer.headers).to.include({
    'x-marigoldspur-outcome': 'failed',
    'retry-after': '1',
  });
});

it('answers: a frozen engine is refused as unknown within the budget', async () => {
  const {fixture: other, agent: beside} = await Fixture.start({
    healthIntervalMs: 600_000,
  });
  await other.send(beside, {model: 'a@v1'});
  await other.faults({freeze: true});
  const answer = await other.send(beside, {model: 'a@v1', budgetMs: 200});
  expect(answer.headers).to.include({
    'x-marigoldspur-outcome': 'unknown',
    'x-marigoldspur-reason': 'no_answer_in_time',
  });
});

it('answers: a request whose engine does not answer is refused before it is sent', async () => {
  await fixture.faults({freeze: true});
  const answer = await eventually(async () => {
    const sent = await fixture.send(agent, {model: 'a@v1', budgetMs: 50});
    return sent.headers['x-marigoldspur-reason'] === 'target_down' && sent;
  });
  expect(answer.headers['x-marigoldspur-outcome']).to.equal('not-run');
});
