import {expect} from 'chai';
import type {EngineView} from '@marigoldspur/deployment';
import {createSelector, createView, findEngine} from './test-engines.js';

const LOAD_MS = 3_000;
const SERVICE = {
  name: 's',
  healthPath: '/',
  maxConnections: 100,
  engine: {
    batchLimit: 64,
    tokenMemory: 0,
    adapterSlots: 8,
    memoryMb: 35_300,
    models: ['busy', 'rare'].map(name => ({
      name,
      adapters: 100,
      weightsMb: 34_300,
      adapterMb: 40,
      loadMs: LOAD_MS,
    })),
  },
};

const WORK = {
  model: 'rare',
  adapter: 'a1',
  promptTokens: 100,
  maxOutputTokens: 10,
  parts: [],
};

/** The state of an engine without models, with changes. */
function view(changes: Partial<EngineView>): EngineView {
  return createView({models: [], unusedModels: [], ...changes});
}

/** Finds an engine for a call of the model "rare" among engines with these states. */
function find(views: readonly EngineView[]) {
  return findEngine(createSelector(views), {service: SERVICE, work: WORK});
}

const USED = view({models: ['busy']});
const UNUSED = view({models: ['busy'], unusedModels: ['busy'], waiting: 5});

// Guards against calls that engines full of another model are ordered to load a model for.
it('model memory: a call whose model fits on no engine is refused at once, with the time of a load', async () => {
  const found = await find([USED, USED]);
  const {outcome, reason, retryAfterSeconds} = found.isErr
    ? found.error
    : expect.fail();
  expect({outcome, reason}).to.deep.equal({
    outcome: 'not-run',
    reason: 'no_model_memory',
  });
  expect(retryAfterSeconds).to.be.within(
    LOAD_MS / 1_000,
    2 * (LOAD_MS / 1_000),
  );
});

it('model memory: an engine is chosen that has the memory once it has unloaded a model without calls', async () => {
  const found = await find([USED, UNUSED]);
  expect(found.isOk && found.value.id).to.equal('e1');
});

it('model memory: an engine unloads no model while another one has the model of the call, or the memory for it', async () => {
  const loaded = await find([UNUSED, view({models: ['rare'], waiting: 40})]);
  expect(loaded.isOk && loaded.value.id).to.equal('e1');
  const empty = await find([UNUSED, view({waiting: 40})]);
  expect(empty.isOk && empty.value.id).to.equal('e1');
});
