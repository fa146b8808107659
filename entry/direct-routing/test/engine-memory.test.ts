import {expect} from 'chai';
import type {EngineView, TargetAnnouncement} from '@marigoldspur/deployment';
import {TargetFinder, TargetSelector} from '@marigoldspur/direct-routing';

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
const ROUTE = {name: 'r', streaming: true, timeoutMs: 60_000};
const WORK = {
  model: 'm',
  promptTokens: PROMPT_TOKENS,
  maxOutputTokens: 0,
  parts: [],
};

function target(index: number): TargetAnnouncement {
  return {
    id: `e${index}`,
    bornAt: 1,
    sequence: 1,
    service: 's',
    address: `10.0.0.${index}:80`,
    zone: 'z',
    slots: 64,
    leaving: false,
    models: ['m'],
  };
}

function view(changes: Partial<EngineView>): EngineView {
  return {
    bornAt: 1,
    answers: true,
    models: ['m'],
    adapters: [],
    loading: [],
    awaited: [],
    takenSlots: 0,
    waiting: 0,
    running: 0,
    memoryUsed: 0,
    ...changes,
  };
}

function createSelector(views: readonly EngineView[]): TargetSelector {
  const targets = views.map((_, index) => target(index));
  return new TargetSelector({
    zone: 'z',
    targets: () => targets,
    engineView: address => views[targets.findIndex(t => t.address === address)],
    random: () => 0.5,
  });
}

function choose(selector: TargetSelector, now: number) {
  return selector.choose(
    {service: SERVICE, route: ROUTE, work: WORK, excluded: new Set()},
    now,
  )!;
}

function find(selector: TargetSelector, promptTokens = PROMPT_TOKENS) {
  const finder = new TargetFinder({
    fleetView: {versionOf: () => undefined},
    selector,
    adapterPreparer: {prepare: async () => true},
    crashMonitor: {findBlock: () => undefined, recordRefusal: () => {}},
    requestCrashes: {findBlock: () => undefined, refuse: () => undefined},
    targetLimits: {
      isLimited: () => false,
      busyTargets: () => [],
      acquire: async () => ({isGranted: true, waitMs: 0}),
    },
    random: () => 0.5,
  } as never);
  const call = {
    metadata: {id: 'c', work: {...WORK, promptTokens}},
    route: ROUTE,
    service: SERVICE,
    startedAt: performance.now(),
    signal: new AbortController().signal,
  };
  return finder.find(call as never, new Set(), performance.now());
}

it('engine memory: an engine is promised no more than its memory while another one has room', () => {
  const selector = createSelector([view({}), view({waiting: 40})]);
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
    view({memoryUsed: 0.9}),
    view({waiting: 60, memoryUsed: 0.5}),
  ]);
  expect(choose(selector, 0).target.id).to.equal('e1');
});

it('engine memory: a call that fits nowhere is refused at once and has not run', async () => {
  const selector = createSelector([
    view({memoryUsed: 0.9}),
    view({memoryUsed: 0.95}),
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
  const selector = createSelector([view({memoryUsed: 0.15})]);
  const trackers = Array.from({length: 5}, () =>
    selector.startCall(target(0), WORK, 0, ROUTE),
  );
  expect(choose(selector, 0).lacksMemory).to.equal(true);
  trackers[0].end(10);
  expect(choose(selector, 10).lacksMemory).to.equal(false);
  selector.startCall(target(0), WORK, 10, ROUTE);
  trackers[1].recordEvent(20);
  expect(choose(selector, 100).lacksMemory).to.equal(true);
  expect(choose(selector, 400).lacksMemory).to.equal(false);
});

it('engine memory: calls are served as before while memory is not nearly full', async () => {
  const selector = createSelector([view({memoryUsed: 0.5})]);
  expect((await find(selector)).isOk).to.equal(true);
});

it('engine memory: a call that is larger than the whole stated memory is left to the engine', async () => {
  const selector = createSelector([view({memoryUsed: 0.1})]);
  expect((await find(selector, TOKEN_MEMORY + 1)).isOk).to.equal(true);
});
