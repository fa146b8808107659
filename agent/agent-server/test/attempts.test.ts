import http from 'node:http';
import {expect} from 'chai';
import {formatHop} from '@marigoldspur/messages';
import {
  waitUntil,
  Fixture,
  createFixtureTree,
  createHop,
  type StartedAgent,
} from './agent-fixture.js';

let fixture: Fixture;
let agent: StartedAgent;

before(async () => {
  ({fixture, agent} = await Fixture.start({slots: 4, tokenMs: 5}));
});

async function runsOf(request: string): Promise<number> {
  const record = await fixture.fetchRunRecords();
  return record.filter(run => run.request === request).length;
}

it('attempts: the same attempt never runs twice', async () => {
  const sending = {model: 'a@v1', request: 'twice', attempt: 1};
  const [first, second] = await Promise.all([
    fixture.send(agent, sending),
    fixture.send(agent, sending),
  ]);
  const third = await fixture.send(agent, sending);
  const statuses = [first.status, second.status].sort();
  expect(statuses).to.deep.equal([200, 409]);
  expect(third.headers['x-marigoldspur-outcome']).to.equal('unknown');
  expect(await runsOf('twice')).to.equal(1);
});

it('attempts: body and header must name the same version', async () => {
  const response = await fixture.send(agent, {
    model: 'a@v1',
    request: 'mismatch',
    body: JSON.stringify({model: 'a@v2', prompt: ''}),
  });
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'model_mismatch',
  });
  expect(await runsOf('mismatch')).to.equal(0);
});

it('attempts: a body that names its model twice is refused', async () => {
  for (const body of [
    '{"model":"a@v2","model":"a@v1","prompt":""}',
    '{"\\u006dodel":"a@v2","model":"a@v1"}',
    '{"Model":"a@v2","model":"a@v1"}',
  ]) {
    const sending = {model: 'a@v1', request: 'doubled', body};
    const response = await fixture.send(agent, sending);
    expect(response.headers['x-marigoldspur-reason'], body).to.be.oneOf([
      'bad_body',
      'repeated_attempt',
    ]);
  }
  expect(await runsOf('doubled')).to.equal(0);
});

it('attempts: only completion paths are forwarded to an engine', async () => {
  const response = await fixture.send(agent, {
    model: 'a@v1',
    path: '/v1/unload_lora_adapter',
  });
  expect(response.headers['x-marigoldspur-reason']).to.equal('unknown_path');
});

it('attempts: 100 Continue is sent only after the adapter is pinned', async () => {
  fixture.control.grants = false;
  const body = JSON.stringify({model: 'b@v1', prompt: ''});
  const clientRequest = http.request(new URL('/v1/completions', agent.url), {
    method: 'POST',
    headers: {
      ...formatHop(createHop({model: 'b@v1', request: 'expects'})),
      'content-length': body.length,
      expect: '100-continue',
    },
  });
  let hasContinued = false;
  const status = new Promise<number>(resolve => {
    clientRequest.on('continue', () => {
      hasContinued = true;
      clientRequest.end(body);
    });
    clientRequest.on('response', response => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
  });
  clientRequest.flushHeaders();
  await waitUntil(() =>
    fixture.control.permitRequests.some(request => request.model === 'b@v1'),
  );
  expect(hasContinued).to.equal(false);
  fixture.control.grants = true;
  expect(await status).to.equal(200);
  expect(hasContinued).to.equal(true);
});

it('attempts: an attempt does not run if its entry disconnects before the adapter is pinned', async () => {
  fixture.control.grants = false;
  const gone = new AbortController();
  const sending = {model: 'c@v1', request: 'gone', signal: gone.signal};
  const sent = fixture.send(agent, sending).catch(() => 'gone');
  await waitUntil(() =>
    fixture.control.permitRequests.some(request => request.model === 'c@v1'),
  );
  gone.abort();
  expect(await sent).to.equal('gone');
  await waitUntil(async () =>
    (await fixture.fetchEvents(agent)).includes('load-dropped'),
  );
  fixture.control.grants = true;
  const after = await fixture.send(agent, {model: 'd@v1'});
  expect(after.whole).to.equal(true);
  const loads = (await fixture.fetchOrderRecords()).map(order => order.model);
  expect(loads).to.include('d@v1').and.not.include('c@v1');
  expect(await runsOf('gone')).to.equal(0);
});

it('attempts: an attempt does not run if its budget ends before the adapter is pinned', async () => {
  fixture.control.grants = false;
  const sending = {model: 'c@v1', request: 'late', budgetMs: 100};
  const response = await fixture.send(agent, sending);
  fixture.control.grants = true;
  expect(response.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'load_too_late',
  });
  expect(response.headers['retry-after']).to.match(/^\d+$/);
  expect(await runsOf('late')).to.equal(0);
});

it('attempts: an attempt with newer settings waits until the agent has them', async () => {
  const tree = createFixtureTree();
  const desk = tree.customers['callao'].services['desk'];
  if (desk.kind === 'model') {
    desk.adapters['new'] = {
      settings: {},
      versions: {v1: {digest: 'd', retired: false}},
    };
  }
  const sent = fixture.send(agent, {model: 'new@v1', revision: 2});
  setTimeout(() => fixture.control.change(tree), 100);
  expect((await sent).status).to.equal(200);
});

it('attempts: an attempt over the limit of buffered bodies is refused with a retry delay', async () => {
  const {fixture: other, agent: small} = await Fixture.start({
    ...{tokenMs: 5, maxHeldBytes: 300},
  });
  let hasStarted = false;
  const prompt = 'x'.repeat(400);
  const body = JSON.stringify({
    ...{model: 'a@v1', prompt, max_tokens: 100, stream: true},
  });
  const onData = () => {
    hasStarted = true;
  };
  const running = other.send(small, {model: 'a@v1', body, onData});
  await waitUntil(() => hasStarted);
  const refused = await other.send(small, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'agent_full',
    'retry-after': '1',
  });
  expect((await running).whole).to.equal(true);
  expect((await other.send(small, {model: 'a@v1'})).whole).to.equal(true);
});

it('attempts: a retired version finishes running requests and refuses new ones', async () => {
  let hasStarted = false;
  const running = fixture.send(agent, {
    model: 'a@v1',
    stream: true,
    tokens: 100,
    onData: () => {
      hasStarted = true;
    },
  });
  await waitUntil(() => hasStarted);
  fixture.control.change(createFixtureTree(true));
  const refused = await waitUntil(async () => {
    const response = await fixture.send(agent, {model: 'a@v1', revision: 3});
    return response.status === 404 && response;
  });
  expect(refused.headers['x-marigoldspur-reason']).to.equal('retired_version');
  expect((await running).whole).to.equal(true);
});

it('attempts: a graceful stop finishes running requests and refuses new ones', async () => {
  const {fixture: other, agent: leaving} = await Fixture.start({tokenMs: 5});
  let hasStarted = false;
  const running = other.send(leaving, {
    model: 'a@v1',
    stream: true,
    tokens: 200,
    onData: () => {
      hasStarted = true;
    },
  });
  await waitUntil(() => hasStarted);
  const stopped = leaving.task.stop();
  const refused = await waitUntil(async () => {
    const response = await other.send(leaving, {model: 'a@v1'});
    return response.status === 503 && response;
  });
  expect(refused.headers['x-marigoldspur-reason']).to.equal('target_leaving');
  const [member] = [...other.control.members.values()];
  expect(member.leaving).to.equal(true);
  expect((await running).whole).to.equal(true);
  await stopped;
});
