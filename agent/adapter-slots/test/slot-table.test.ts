import {expect} from 'chai';
import {LruEviction} from '@marigoldspur/eviction';
import {SlotTable} from '@marigoldspur/adapter-slots';

function table(slots: number): SlotTable {
  return new SlotTable(slots, new LruEviction());
}

function load(slots: SlotTable, model: string, now: number): void {
  slots.reserve(model, now);
  slots.loaded(model, now);
}

it('slots: a pinned adapter is never evicted', () => {
  const slots = table(1);
  load(slots, 'a@1', 0);
  const pin = slots.pin('a@1', 1);
  expect(slots.reserve('b@1', 2)).to.equal(undefined);
  pin?.release(3);
  expect(slots.reserve('b@1', 4)).to.deep.equal({model: 'b@1', evict: 'a@1'});
});

it('slots: a second release does nothing', () => {
  const slots = table(1);
  load(slots, 'a@1', 0);
  const first = slots.pin('a@1', 1);
  slots.pin('a@1', 1);
  first?.release(2);
  first?.release(2);
  expect(slots.reserve('b@1', 3)).to.equal(undefined);
});

it('slots: a loading adapter is neither pinned nor evicted', () => {
  const slots = table(1);
  slots.reserve('a@1', 0);
  expect(slots.pin('a@1', 1)).to.equal(undefined);
  expect(slots.reserve('b@1', 1)).to.equal(undefined);
});

it('slots: the least recently used adapter leaves', () => {
  const slots = table(2);
  load(slots, 'a@1', 0);
  load(slots, 'b@1', 1);
  slots.pin('a@1', 2)?.release(3);
  expect(slots.reserve('c@1', 4)?.evict).to.equal('b@1');
});
