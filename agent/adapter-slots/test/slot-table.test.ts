import {expect} from 'chai';
import {LruEviction} from '@marigoldspur/eviction';
import {SlotTable, type SlotReservation} from '@marigoldspur/adapter-slots';

function createTable(slots: number): SlotTable {
  return new SlotTable(slots, new LruEviction());
}

function reserve(slots: SlotTable, model: string, now: number) {
  const reservation = slots.reserve(model, now);
  expect(reservation, `a slot for ${model}`).to.not.equal(undefined);
  return reservation as SlotReservation;
}

function load(slots: SlotTable, model: string, now: number): void {
  slots.completeLoad(reserve(slots, model, now), now);
}

it('slots: a pinned adapter is never evicted', () => {
  const slots = createTable(1);
  load(slots, 'a@1', 0);
  const pin = slots.pin('a@1', 1);
  expect(slots.reserve('b@1', 2)).to.equal(undefined);
  pin?.release(3);
  expect(slots.reserve('b@1', 4)).to.deep.equal({model: 'b@1', evict: 'a@1'});
});

it('slots: a second release has no effect', () => {
  const slots = createTable(1);
  load(slots, 'a@1', 0);
  const first = slots.pin('a@1', 1);
  slots.pin('a@1', 1);
  first?.release(2);
  first?.release(2);
  expect(slots.reserve('b@1', 3)).to.equal(undefined);
});

it('slots: a loading adapter is neither pinned nor evicted', () => {
  const slots = createTable(1);
  slots.reserve('a@1', 0);
  expect(slots.pin('a@1', 1)).to.equal(undefined);
  expect(slots.reserve('b@1', 1)).to.equal(undefined);
});

it('slots: the least recently used adapter is evicted', () => {
  const slots = createTable(2);
  load(slots, 'a@1', 0);
  load(slots, 'b@1', 1);
  slots.pin('a@1', 2)?.release(3);
  expect(slots.reserve('c@1', 4)?.evict).to.equal('b@1');
});

it('slots: an adapter is not loaded while it is being evicted', () => {
  const slots = createTable(2);
  load(slots, 'a@1', 0);
  load(slots, 'b@1', 1);
  const first = reserve(slots, 'c@1', 2);
  expect(first.evict).to.equal('a@1');
  expect(slots.reserve('a@1', 3)).to.equal(undefined);
  slots.completeLoad(first, 4);
  expect(slots.reserve('a@1', 5)?.evict).to.equal('b@1');
});

it('slots: a load that ends after a reset is not recorded', () => {
  const slots = createTable(1);
  const reservation = reserve(slots, 'a@1', 0);
  slots.reset(1, [], 1);
  expect(slots.completeLoad(reservation, 2)).to.equal(false);
  expect(slots.resident()).to.deep.equal([]);
});

it('slots: a distrusted adapter accepts no requests and is evicted first', () => {
  const slots = createTable(3);
  load(slots, 'a@1', 0);
  load(slots, 'b@1', 1);
  slots.distrust('b@1');
  expect(slots.pin('b@1', 2)).to.equal(undefined);
  expect(slots.reserve('b@1', 3)).to.deep.equal({model: 'b@1', evict: 'b@1'});
});

it('slots: a distrusted adapter in use is not evicted', () => {
  const slots = createTable(1);
  load(slots, 'a@1', 0);
  const pin = slots.pin('a@1', 1);
  slots.distrust('a@1');
  expect(slots.reserve('a@1', 2)).to.equal(undefined);
  expect(slots.reserve('b@1', 2)).to.equal(undefined);
  pin?.release(3);
  expect(slots.reserve('a@1', 4)?.evict).to.equal('a@1');
});

it('slots: an adapter that is in use at a takeover is pinned', () => {
  const slots = createTable(1);
  slots.reset(1, ['a@1'], 0);
  const pin = slots.pinRunning('a@1', 0);
  expect(slots.reserve('b@1', 1)).to.equal(undefined);
  pin.release(2);
  expect(slots.reserve('b@1', 3)?.evict).to.equal('a@1');
});

it('slots: a successor is admitted if its predecessor is resident and would not be evicted', () => {
  const slots = createTable(2);
  load(slots, 'a@1', 0);
  load(slots, 'b@1', 1);
  expect(slots.admitSuccessor('b@2', 'b@1', 2)).to.equal(true);
  expect(slots.admitSuccessor('c@2', 'c@1', 2)).to.equal(false);
  expect(slots.reserve('b@2', 3)).to.deep.equal({model: 'b@2', evict: 'a@1'});
  expect(slots.admitSuccessor('b@2', 'b@1', 4)).to.equal(false);
});

it('slots: no successor is admitted for the adapter that would be evicted next', () => {
  const slots = createTable(2);
  load(slots, 'a@1', 0);
  expect(slots.admitSuccessor('a@2', 'a@1', 1)).to.equal(true);
  load(slots, 'b@1', 1);
  expect(slots.admitSuccessor('a@2', 'a@1', 2)).to.equal(false);
});
