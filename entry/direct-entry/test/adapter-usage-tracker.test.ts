import {expect} from 'chai';
import {AdapterUsageTracker} from '@marigoldspur/direct-entry';

it('adapter usage: the first call and the end of the last one are reported immediately', () => {
  const uses = new AdapterUsageTracker();
  const ends = [uses.startUse('e:1', 'm/a'), uses.startUse('e:1', 'm/a')];
  expect(uses.takeDueReports(0)).to.eql([
    {address: 'e:1', begun: [['m/a', 2]], running: [['m/a', 2]]},
  ]);
  ends[0]();
  expect(uses.takeDueReports(1)).to.eql([]);
  ends[1]();
  expect(uses.takeDueReports(2)).to.eql([
    {address: 'e:1', begun: [], running: []},
  ]);
});

it('adapter usage: running calls are reported again, with the number of calls started since', () => {
  const uses = new AdapterUsageTracker();
  uses.startUse('e:1', 'm/a');
  uses.takeDueReports(0);
  uses.startUse('e:1', 'm/a');
  expect(uses.takeDueReports(100)).to.eql([]);
  expect(uses.takeDueReports(5_000)).to.eql([
    {address: 'e:1', begun: [['m/a', 1]], running: [['m/a', 2]]},
  ]);
});
