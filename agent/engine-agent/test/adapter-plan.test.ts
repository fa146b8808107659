import {expect} from 'chai';
import {LruEviction} from '@marigoldspur/eviction';
import {
  planOrder,
  planRoom,
  AdapterUseTracker,
  EngineMemory,
  type PlanInput,
  type EngineState,
  type RequestedAdapter,
} from '@marigoldspur/engine-agent';

const NOW = 10_000;

function state(changes: Partial<EngineState> = {}): EngineState {
  return {
    bornAt: 1,
    sequence: 0,
    busy: false,
    models: new Set(['m']),
    adapters: new Map(),
    loading: new Set(),
    running: 0,
    waiting: 0,
    memoryUsed: 0,
    ...changes,
  };
}

function requested(adapter: string, changes: Partial<RequestedAdapter> = {}) {
  return {model: 'm', adapter, name: `m/${adapter}`, since: 0, ...changes};
}

function input(changes: Partial<PlanInput> = {}): PlanInput {
  return {
    state: state(),
    slots: 2,
    accepted: new Set(),
    leaving: new Set(),
    loadingModels: new Set(),
    leavingModels: new Set(),
    memory: undefined,
    requested: [],
    uses: new AdapterUseTracker(),
    ...changes,
  };
}

function plan(changes: Partial<PlanInput>) {
  return planOrder(input(changes), new LruEviction(), NOW);
}

const FULL = state({adapters: new Map(Object.entries({'m/a': 1, 'm/b': 1}))});

it('adapter plan: the adapter that was requested first is loaded first', () => {
  const late = requested('late', {since: 5});
  const early = requested('early', {since: 1});
  expect(plan({requested: [late, early]})).to.deep.equal({
    kind: 'load',
    requested: early,
  });
});

it('adapter plan: a missing model is loaded before its adapters', () => {
  const empty = state({models: new Set()});
  expect(plan({state: empty, requested: [requested('a')]})).to.deep.equal({
    kind: 'load-model',
    model: 'm',
  });
  const loading = state({models: new Set(), busy: true});
  expect(plan({state: loading, requested: [requested('a')]})).to.equal(
    undefined,
  );
});

it('adapter plan: no more adapters are ordered than there are slots', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', NOW);
  uses.expectUse('m/b', NOW);
  expect(plan({state: FULL, uses, requested: [requested('c')]})).to.equal(
    undefined,
  );
  const half = state({adapters: new Map([['m/a', 1]])});
  const accepted = new Set(['m/x']);
  expect(
    plan({state: half, accepted, uses, requested: [requested('c')]}),
  ).to.equal(undefined);
});

it('adapter plan: an adapter in use is not evicted', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: 'e', begun: [], running: [['m/a', 1]]}, NOW - 1_000);
  expect(plan({state: FULL, uses, requested: [requested('c')]})).to.deep.equal({
    kind: 'unload',
    name: 'm/b',
  });
});

it('adapter plan: an outdated report of an entry does not prevent an eviction', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: 'e', begun: [], running: [['m/a', 1]]}, NOW - 9_000);
  uses.expectUse('m/b', NOW);
  expect(plan({state: FULL, uses, requested: [requested('c')]})).to.deep.equal({
    kind: 'unload',
    name: 'm/a',
  });
});

it('adapter plan: a newer version replaces the loaded one without a free slot', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/b', NOW);
  const newer = requested('a', {version: 2});
  expect(plan({state: FULL, uses, requested: [newer]})).to.deep.equal({
    kind: 'load',
    requested: newer,
  });
});

it('adapter plan: a running load is not ordered again', () => {
  const loading = state({loading: new Set(['m/a'])});
  expect(plan({state: loading, requested: [requested('a')]})).to.equal(
    undefined,
  );
  const accepted = new Set(['m/a']);
  expect(plan({accepted, requested: [requested('a')]})).to.equal(undefined);
});

/** Memory for one of the models with 25 of its adapters. */
function oneModelMemory(capacityMb = 35_300) {
  const memory = new EngineMemory();
  const models = ['m', 'n'].map(name => ({
    name,
    weightsMb: 34_300,
    adapterMb: 40,
  }));
  memory.update({capacityMb, models}, new Set());
  return memory;
}

const OTHER = {model: 'n', adapter: 'a', name: 'n/a', since: 0};

// Guards against engines that crash because they hold one more model than fits.
it('adapter plan: a model is not loaded beside one that calls use', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', NOW - 1_000);
  const memory = oneModelMemory();
  expect(plan({memory, uses, requested: [OTHER]})).to.equal(undefined);
  const both = oneModelMemory(2 * 34_300 + 40);
  expect(plan({memory: both, uses, requested: [OTHER]})).to.deep.equal({
    kind: 'load-model',
    model: 'n',
  });
});

it('adapter plan: a model without calls is unloaded before another one is loaded', () => {
  const unload = {kind: 'unload-model', model: 'm'};
  const memory = oneModelMemory();
  expect(plan({memory, requested: [OTHER]})).to.deep.equal(unload);
  const leavingModels = new Set(['m']);
  expect(plan({memory, leavingModels, requested: [OTHER]})).to.equal(undefined);
  const empty = state({models: new Set()});
  expect(plan({memory, state: empty, requested: [OTHER]})).to.deep.equal({
    kind: 'load-model',
    model: 'n',
  });
});

it('adapter plan: a model is not unloaded while the engine runs calls that nobody reported', () => {
  const memory = oneModelMemory();
  const running = state({running: 1});
  expect(plan({memory, state: running, requested: [OTHER]})).to.equal(
    undefined,
  );
});

it('adapter plan: a model that is being loaded takes its memory', () => {
  const memory = oneModelMemory();
  const empty = state({models: new Set()});
  const loadingModels = new Set(['m']);
  const requests = {memory, state: empty, requested: [OTHER]};
  expect(plan({...requests, loadingModels})).to.equal(undefined);
});

it('adapter plan: nothing is loaded beside a model of unknown size, which is unloaded once no call uses it', () => {
  const memory = oneModelMemory(10 * 34_300);
  const unknown = state({models: new Set(['m', 'x'])});
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', NOW);
  const needs = {memory, uses, state: unknown};
  for (const wanted of [OTHER, requested('c')]) {
    expect(plan({...needs, requested: [wanted]})).to.deep.equal({
      kind: 'unload-model',
      model: 'x',
    });
  }
  uses.expectUse('x/a', NOW);
  expect(plan({...needs, requested: [OTHER]})).to.equal(undefined);
});

it('adapter plan: adapters are unloaded when memory, not slots, has no room for another one', () => {
  const memory = oneModelMemory(34_300 + 2 * 40);
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', NOW);
  const full = {memory, uses, slots: 8, state: FULL};
  expect(plan({...full, requested: [requested('c')]})).to.deep.equal({
    kind: 'unload',
    name: 'm/b',
  });
  uses.expectUse('m/b', NOW);
  expect(plan({...full, requested: [requested('c')]})).to.equal(undefined);
});

it('adapter plan: a call waits while a model without calls is unloaded for its model', () => {
  const memory = oneModelMemory();
  const needs = {memory, requested: [OTHER]};
  expect(planRoom(input(needs), OTHER, NOW)).to.deep.equal({
    kind: 'unload-model',
    model: 'm',
  });
  const leavingModels = new Set(['m']);
  expect(planRoom(input({...needs, leavingModels}), OTHER, NOW)).to.deep.equal({
    kind: 'wait',
  });
});
