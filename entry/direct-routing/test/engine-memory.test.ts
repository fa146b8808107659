import {expect} from 'chai';
import type {TargetSelector} from '@marigoldspur/direct-routing';
import {
  createEngine,
  createSelector,
  createView,
  findEngine,
  ROUTE,
} from './test-engines.js';

const TOKEN_MEMORY = 200_000;
const PROMPT_TOKENS = 30_000;
const SERVICE = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  engine: {
    batchLimit: 64,
    tokenMemory: TOKEN_MEMORY,
    adapterSlots: 8,
    models: [{name: 'm', adapters: 100}],
  },
};
const WORK = {
  model: 'm',
  promptTokens: PROMPT_TOKENS,
  maxOutputTokens: 0,
  parts: [],
};

function choose(selector: TargetSelector, now: number) {
  return selector.choose(
    {service: SERVICE, route: ROUTE, work: WORK, excluded: new Set()},
    now,
  )!;
}

function find(selector: TargetSelector, promptTokens = PROMPT_TOKENS) {
  const work = {...WORK, promptTokens};
  return findEngine(selector, {service: SERVICE, work});
}

it('engine memory: an engine is promised no more than its memory while another one has room', () => {
  const selector = createSelector([createView({}), createView({waiting: 40})]);
  const promised = [0, 0];
  for (let call = 0; call < 10; call += 1) {
    const {lacksMemory, target} = choose(selector, 0);
    expect(lacksMemory).to.equal(false);
    selector.startCall(target, WORK, 0, ROUTE);
    promised[Number(target.id.slice(1))] += PROMPT_TOKENS;
  }
  expect(Math.max(...promised)).to.be.at.most(TOKEN_MEMORY);
});

it('engine memory: an engine whose reported memory has no room is not chosen, however idle it is', () => {
  const selector = createSelector([
    createView({memoryUsed: 0.9}),
    createView({waiting: 60, memoryUsed: 0.5}),
  ]);
  expect(choose(selector, 0).target.id).to.equal('e1');
});

it('engine memory: a call that fits nowhere is refused at once and has not run', async () => {
  const selector = createSelector([
    createView({memoryUsed: 0.9}),
    createView({memoryUsed: 0.95}),
  ]);
  const found = await find(selector);
  expect(found.isErr).to.equal(true);
  const {outcome, reason, retryAfterSeconds} = found.isErr
    ? found.error
    : expect.fail();
  expect({outcome, reason}).to.deep.equal({
    outcome: 'not-run',
    reason: 'memory_full',
  });
  expect(retryAfterSeconds).to.be.within(0.1, 1);
});

it('engine memory: a promise ends once reports contain the call, or if it ends without an event', () => {
  const selector = createSelector([createView({memoryUsed: 0.15})]);
  const trackers = Array.from({length: 5}, () =>
    selector.startCall(createEngine(0), WORK, 0, ROUTE),
  );
  expect(choose(selector, 0).lacksMemory).to.equal(true);
  trackers[0].end(10);
  expect(choose(selector, 10).lacksMemory).to.equal(false);
  selector.startCall(createEngine(0), WORK, 10, ROUTE);
  trackers[1].recordEvent(20);
  expect(choose(selector, 100).lacksMemory).to.equal(true);
  expect(choose(selector, 400).lacksMemory).to.equal(false);
});

it('engine memory: calls are served as before while memory is not nearly full', async () => {
  const selector = createSelector([createView({memoryUsed: 0.5})]);
  expect((await find(selector)).isOk).to.equal(true);
});

it('engine memory: a call that is larger than the whole stated memory is left to the engine', async () => {
  const selector = createSelector([createView({memoryUsed: 0.1})]);
  expect((await find(selector, TOKEN_MEMORY + 1)).isOk).to.equal(true);
});
