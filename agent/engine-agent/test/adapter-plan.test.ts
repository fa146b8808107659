import {expect} from 'chai';
import {LruEviction} from '@marigoldspur/eviction';
import {
  planOrder,
  AdapterUseTracker,
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

function wanted(adapter: string, changes: Partial<RequestedAdapter> = {}) {
  return {model: 'm', adapter, name: `m/${adapter}`, since: 0, ...changes};
}

function view(changes: Partial<PlanInput> = {}): PlanInput {
  return {
    state: state(),
    slots: 2,
    ordered: new Set(),
    leaving: new Set(),
    wanted: [],
    uses: new AdapterUseTracker(),
    ...changes,
  };
}

function plan(changes: Partial<PlanInput>) {
  return planOrder(view(changes), new LruEviction(), NOW);
}

const FULL = state({adapters: new Map(Object.entries({'m/a': 1, 'm/b': 1}))});

it('adapter plan: the adapter that was asked for first is loaded first', () => {
  const late = wanted('late', {since: 5});
  const early = wanted('early', {since: 1});
  expect(plan({wanted: [late, early]})).to.deep.equal({
    kind: 'load',
    wanted: early,
  });
});

it('adapter plan: a model that is missing is loaded before its adapters', () => {
  const empty = state({models: new Set()});
  expect(plan({state: empty, wanted: [wanted('a')]})).to.deep.equal({
    kind: 'load-model',
    model: 'm',
  });
  const loading = state({models: new Set(), busy: true});
  expect(plan({state: loading, wanted: [wanted('a')]})).to.equal(undefined);
});

it('adapter plan: never more adapters are ordered than there are slots', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', NOW);
  uses.expectUse('m/b', NOW);
  expect(plan({state: FULL, uses, wanted: [wanted('c')]})).to.equal(undefined);
  const half = state({adapters: new Map([['m/a', 1]])});
  const ordered = new Set(['m/x']);
  expect(plan({state: half, ordered, uses, wanted: [wanted('c')]})).to.equal(
    undefined,
  );
});

it('adapter plan: an adapter in use does not leave', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: 'e', begun: [], running: [['m/a', 1]]}, NOW - 1_000);
  expect(plan({state: FULL, uses, wanted: [wanted('c')]})).to.deep.equal({
    kind: 'unload',
    name: 'm/b',
  });
});

it('adapter plan: what an entry told long ago does not hold an adapter', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: 'e', begun: [], running: [['m/a', 1]]}, NOW - 9_000);
  uses.expectUse('m/b', NOW);
  expect(plan({state: FULL, uses, wanted: [wanted('c')]})).to.deep.equal({
    kind: 'unload',
    name: 'm/a',
  });
});

it('adapter plan: a newer version replaces the held one without a free slot', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/b', NOW);
  const newer = wanted('a', {version: 2});
  expect(plan({state: FULL, uses, wanted: [newer]})).to.deep.equal({
    kind: 'load',
    wanted: newer,
  });
});

it('adapter plan: a load under way is not ordered again', () => {
  const loading = state({loading: new Set(['m/a'])});
  expect(plan({state: loading, wanted: [wanted('a')]})).to.equal(undefined);
  const ordered = new Set(['m/a']);
  expect(plan({ordered, wanted: [wanted('a')]})).to.equal(undefined);
});
