import {expect} from 'chai';
import {AdapterUses} from '@marigoldspur/direct-entry';

it('adapter uses: the first call and the end of the last one are told at once', () => {
  const uses = new AdapterUses();
  const ends = [uses.begin('e:1', 'm/a'), uses.begin('e:1', 'm/a')];
  expect(uses.due(0)).to.eql([
    {address: 'e:1', begun: [['m/a', 2]], running: [['m/a', 2]]},
  ]);
  ends[0]();
  expect(uses.due(1)).to.eql([]);
  ends[1]();
  expect(uses.due(2)).to.eql([{address: 'e:1', begun: [], running: []}]);
});

it('adapter uses: what runs is told again, with the calls that began meanwhile', () => {
  const uses = new AdapterUses();
  uses.begin('e:1', 'm/a');
  uses.due(0);
  uses.begin('e:1', 'm/a');
  expect(uses.due(100)).to.eql([]);
  expect(uses.due(5_000)).to.eql([
    {address: 'e:1', begun: [['m/a', 1]], running: [['m/a', 2]]},
  ]);
});
