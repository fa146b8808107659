import {expect} from 'chai';
import {DecayedUseCounter} from '@marigoldspur/demand';

it('demand: a use counts half after the half-life', () => {
  const table = new DecayedUseCounter({halfLifeMs: 1_000, maxModels: 10});
  table.recordUse('a@v1', 0);
  table.recordUse('a@v1', 1_000);
  expect(table.count('a@v1', 1_000)).to.equal(1.5);
  expect(table.count('a@v1', 2_000)).to.equal(0.75);
  expect(table.count('b@v1', 0)).to.equal(0);
});

it('demand: the least recently used adapter is evicted', () => {
  const table = new DecayedUseCounter({halfLifeMs: 1_000, maxModels: 2});
  ['a@v1', 'b@v1', 'a@v1', 'c@v1'].forEach((model, at) =>
    table.recordUse(model, at),
  );
  expect(table.size).to.equal(2);
  expect(table.count('b@v1', 4)).to.equal(0);
  expect(table.top(1, 4)).to.deep.equal(['a@v1']);
});
