import {expect} from 'chai';
import {DecayedUseCounter} from '@marigoldspur/adapter-use-rates';

it('decayed use counter: a use counts half after the half-life', () => {
  const counter = new DecayedUseCounter({halfLifeMs: 1_000, maxModels: 10});
  counter.recordUse('a@v1', 0);
  counter.recordUse('a@v1', 1_000);
  expect(counter.count('a@v1', 1_000)).to.equal(1.5);
  expect(counter.count('a@v1', 2_000)).to.equal(0.75);
  expect(counter.count('b@v1', 0)).to.equal(0);
});

it('decayed use counter: the least recently used adapter is evicted', () => {
  const counter = new DecayedUseCounter({halfLifeMs: 1_000, maxModels: 2});
  ['a@v1', 'b@v1', 'a@v1', 'c@v1'].forEach((model, at) =>
    counter.recordUse(model, at),
  );
  expect(counter.size).to.equal(2);
  expect(counter.count('b@v1', 4)).to.equal(0);
  expect(counter.top(1, 4)).to.deep.equal(['a@v1']);
});
