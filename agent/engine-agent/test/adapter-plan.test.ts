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

function requested(adapter: string, changes: Partial<RequestedAdapter> = {}) {
  return {model: 'm', adapter, name: `m/${adapter}`, since: 0, ...changes};
}

function input(changes: Partial<PlanInput> = {}): PlanInput {
  return {
    state: state(),
    slots: 2,
    accepted: new Set(),
    leaving: new Set(),
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
