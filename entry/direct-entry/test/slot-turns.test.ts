import {expect} from 'chai';
import {SlotTurns} from '@marigoldspur/direct-entry';

it('slot turns: follow how long the calls of the service last', () => {
  const turns = new SlotTurns();
  const before = turns.turnMs('s', 8);
  for (let call = 0; call < 500; call += 1) {
    turns.ended('s', 50);
  }
  expect(turns.turnMs('s', 8)).to.be.below(before / 10);
  expect(turns.turnMs('other', 8)).to.equal(before);
});

it('slot turns: an engine with more slots has one idle sooner', () => {
  const turns = new SlotTurns();
  expect(turns.turnMs('s', 8)).to.be.below(turns.turnMs('s', 2));
});
