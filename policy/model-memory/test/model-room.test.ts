import {expect} from 'chai';
import type {EngineCapacity, EngineView} from '@marigoldspur/deployment';
import {modelMemoryOf, modelRoomOf} from '@marigoldspur/model-memory';

const ENGINE = {
  memoryMb: 100,
  models: [
    {name: 'large', adapters: 9, weightsMb: 70, adapterMb: 5},
    {name: 'small', adapters: 9, weightsMb: 25, adapterMb: 5},
  ],
} as unknown as EngineCapacity;

function roomFor(model: string, view: Partial<EngineView>, adapter?: string) {
  return modelRoomOf(ENGINE, view as EngineView, {model, adapter});
}

it('model room: an engine is free that has the model or the memory for it', () => {
  expect(roomFor('large', {models: ['large']})).to.equal('free');
  expect(roomFor('small', {models: ['large']}, 'a1')).to.equal('free');
});

it('model room: models that no call uses make room, others do not', () => {
  const used = {models: ['large', 'small'], unusedModels: []};
  expect(roomFor('other', used)).to.equal('free');
  const full = {...ENGINE, memoryMb: 90} as EngineCapacity;
  const call = {model: 'small', adapter: 'a1'};
  const views = [[], ['large']].map(
    unusedModels =>
      ({models: ['large'], unusedModels}) as unknown as EngineView,
  );
  expect(views.map(view => modelRoomOf(full, view, call))).to.deep.equal([
    'none',
    'after-unload',
  ]);
});

it('model room: an engine about which nothing is known is free', () => {
  expect(modelRoomOf(ENGINE, undefined, {model: 'large'})).to.equal('free');
  const unstated = {models: ENGINE.models} as EngineCapacity;
  const view = {models: ['small']} as EngineView;
  expect(modelRoomOf(unstated, view, {model: 'large'})).to.equal('free');
});

it('model memory: only the named models that the deployment knows are stated', () => {
  expect(modelMemoryOf(ENGINE, ['small', 'small', 'other'])).to.deep.equal({
    capacityMb: 100,
    models: [{name: 'small', weightsMb: 25, adapterMb: 5}],
  });
});
