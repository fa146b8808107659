import {expect} from 'chai';
import type {EngineFaults} from '@marigoldspur/stand-ins';
import {
  waitUntil,
  Fixture,
  type AgentResponse,
  type StartedAgent,
} from './agent-fixture.js';

const RESUME_MS = 20_000;
const FIRST_EVENT_LINE = 'id: 0\n';

let requestCount = 0;

/** A stream that was interrupted before its end. */
interface BrokenStream {
  readonly request: string;
  /** Complete events received before the disconnect. */
  readonly text: string;
  /** Number of the last complete event. */
  readonly last: number;
}

/**
 * Starts a stream on `a@v1` and disconnects the entry after at least one event.
 */
async function breakStream(
  fixture: Fixture,
  agent: StartedAgent,
  tokens: number,
): Promise<BrokenStream> {
  const entry = new AbortController();
  requestCount += 1;
  const request = `broken-${requestCount}`;
  let text = '';
  const response = fixture
    .send(agent, {
      ...{model: 'a@v1', request, stream: true, tokens},
      signal: entry.signal,
      onData: seen => {
        text = seen;
      },
    })
    .catch(() => undefined);
  await waitUntil(() => text.includes('\n\n'));
  entry.abort();
  await response;
  const whole = text.slice(0, text.lastIndexOf('\n\n') + 2);
  const last = whole.split('\n\n').length - 2;
  return {request, text: whole, last};
}

/** Starts a stream on `a@v1` and disconnects the engine from the agent. */
async function cutStream(
  fixture: Fixture,
  agent: StartedAgent,
  tokens: number,
): Promise<BrokenStream> {
  await fixture.setFaults({cutAfterTokens: 2, cutAnswers: 1});
  requestCount += 1;
  const request = `cut-${requestCount}`;
  const sending = {model: 'a@v1', request, stream: true, tokens};
  const cut = await fixture.send(agent, sending).catch(() => undefined);
  expect(cut?.whole ?? false).to.equal(false);
  await fixture.setFaults({});
  return {request, text: '', last: -1};
}

function resume(
  fixture: Fixture,
  agent: StartedAgent,
  {request, last}: Pick<BrokenStream, 'request' | 'last'>,
  model = 'a@v1',
): Promise<AgentResponse | undefined> {
  const sending = {model, request, resumeAfter: last};
  return fixture.send(agent, sending).catch(() => undefined);
}

async function runsOf(fixture: Fixture, request: string) {
  const runs = await fixture.fetchRunRecords();
  return runs.filter(run => run.request === request);
}

it('resumes: a stream continues after its last event when the entry reconnects', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS},
  });
  const broken = await breakStream(fixture, agent, 60);
  const rest = await resume(fixture, agent, broken);
  expect(rest).to.include({status: 200, whole: true});
  const text = broken.text + rest?.text;
  expect(text.startsWith(FIRST_EVENT_LINE)).to.equal(true);
  const numbers = text.match(/^id: \d+$/gm);
  expect(numbers).to.deep.equal(Array.from({length: 61}, (_, n) => `id: ${n}`));
  const runs = await runsOf(fixture, broken.request);
  expect(runs.map(run => run.end)).to.deep.equal(['whole']);
});

it('resumes: an adapter is not evicted while its stream can be resumed', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{slots: 1, tokenMs: 5, resumeMs: RESUME_MS},
  });
  const broken = await cutStream(fixture, agent, 5);
  await waitUntil(async () =>
    (await runsOf(fixture, broken.request)).every(run => run.end === 'whole'),
  );
  const other = await fixture.send(agent, {model: 'b@v1', budgetMs: 500});
  expect(other.headers['x-marigoldspur-outcome']).to.equal('not-run');
  expect(await fixture.fetchOrderRecords()).to.have.length(1);
  const rest = await resume(fixture, agent, broken);
  expect(rest?.whole).to.equal(true);
  const after = await fixture.send(agent, {model: 'b@v1'});
  expect(after.whole).to.equal(true);
});

it('resumes: a stream that is not resumed is stopped and unpinned after the resume window', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{slots: 1, tokenMs: 5, resumeMs: 300},
  });
  const broken = await breakStream(fixture, agent, 10_000);
  const other = await fixture.send(agent, {model: 'b@v1'});
  expect(other.whole).to.equal(true);
  const [run] = await runsOf(fixture, broken.request);
  expect(run.end).to.not.equal('running');
  const orders = await fixture.fetchOrderRecords();
  expect(orders.filter(order => order.evictedInUse)).to.deep.equal([]);
});

it('resumes: a cancelled stream is stopped and unpinned immediately', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{slots: 1, tokenMs: 5, resumeMs: RESUME_MS},
  });
  for (const first of ['disconnected', 'reading']) {
    const {request} = await cancelStream(
      fixture,
      agent,
      first === 'disconnected',
    );
    const other = await fixture.send(agent, {model: 'b@v1', budgetMs: 5_000});
    expect(other.whole, first).to.equal(true);
    const [run] = await runsOf(fixture, request);
    expect(run.end, first).to.not.be.oneOf(['running', 'whole']);
  }
});

/** Cancels a stream, either after the entry has disconnected or while it is reading. */
async function cancelStream(
  fixture: Fixture,
  agent: StartedAgent,
  disconnectsFirst: boolean,
): Promise<{request: string}> {
  const cancel = {model: 'a@v1', cancel: true};
  if (disconnectsFirst) {
    const broken = await breakStream(fixture, agent, 10_000);
    await fixture.send(agent, {...cancel, request: broken.request});
    return broken;
  }
  const request = 'cancelled';
  const sending = {model: 'a@v1', request, stream: true, tokens: 10_000};
  let hasStarted = false;
  const onData = () => {
    hasStarted = true;
  };
  const response = fixture.send(agent, {...sending, onData}).catch(() => {});
  await waitUntil(() => hasStarted);
  await fixture.send(agent, {...cancel, request});
  await response;
  return {request};
}

it('resumes: a new reader replaces the previous one', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS},
  });
  const request = 'displaced';
  let hasStarted = false;
  const first = fixture
    .send(agent, {
      ...{model: 'a@v1', request, stream: true, tokens: 100},
      onData: () => {
        hasStarted = true;
      },
    })
    .catch(() => undefined);
  await waitUntil(() => hasStarted);
  const second = await resume(fixture, agent, {request, last: -1});
  expect((await first)?.whole ?? false).to.equal(false);
  expect(second).to.include({status: 200, whole: true});
  expect(await runsOf(fixture, request)).to.have.length(1);
});

it('resumes: no request is run again if the engine restarted or does not have the stream', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS},
  });
  const broken = await breakStream(fixture, agent, 1_000);
  for (const faults of [{resumeFault: 'off'}, {restart: true}] as const) {
    await fixture.setFaults(faults);
    const refused = await resume(fixture, agent, broken);
    expect(refused?.headers).to.include({
      'x-marigoldspur-outcome': 'unknown',
      'x-marigoldspur-reason': 'resume_gone',
    });
  }
  expect(await runsOf(fixture, broken.request)).to.have.length(1);
});

it('resumes: a stream of another request or version is refused', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS},
  });
  const broken = await cutStream(fixture, agent, 30);
  const faults: Array<Partial<EngineFaults>> = [
    {resumeFault: 'crossed'},
    {resumeFault: 'version'},
  ];
  for (const fault of faults) {
    await fixture.setFaults(fault);
    const crossed = await resume(fixture, agent, broken);
    expect(crossed?.headers).to.include({
      'x-marigoldspur-outcome': 'unknown',
      'x-marigoldspur-reason': 'crossed_answer',
    });
  }
  await fixture.setFaults({});
  const other = await resume(fixture, agent, broken, 'a@v2');
  expect(other?.headers['x-marigoldspur-reason']).to.equal('crossed_answer');
  const rest = await resume(fixture, agent, broken);
  expect(rest?.whole).to.equal(true);
});

it('resumes: another agent of the same engine can resume the stream', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS, slots: 1},
  });
  const broken = await breakStream(fixture, agent, 200);
  const second = await fixture.startAgent();
  const rest = await resume(fixture, second, broken);
  expect(rest).to.include({status: 200, whole: true});
  expect(await runsOf(fixture, broken.request)).to.have.length(1);
});

it('resumes: an agent that may not take over yet can resume a stream', async () => {
  const {fixture, agent} = await Fixture.start({
    ...{tokenMs: 5, resumeMs: RESUME_MS},
    ...{fenceChecked: false, orderLeaseMs: 8_000},
  });
  const broken = await cutStream(fixture, agent, 20);
  const second = await fixture.startAgent();
  const rest = await resume(fixture, second, broken);
  expect(rest).to.include({status: 200, whole: true});
  const refused = await fixture.send(second, {model: 'a@v1'});
  expect(refused.headers).to.include({
    'x-marigoldspur-outcome': 'not-run',
    'x-marigoldspur-reason': 'target_down',
  });
});
