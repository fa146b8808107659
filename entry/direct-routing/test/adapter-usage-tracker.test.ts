import {expect} from 'chai';
import {AdapterUsageTracker} from '@marigoldspur/direct-routing';

it('adapter usage: the first call and the end of the last one are reported immediately', () => {
  const tracker = new AdapterUsageTracker();
  const ends = [tracker.startUse('e:1', 'm/a'), tracker.startUse('e:1', 'm/a')];
  expect(tracker.takeDueReports(0)).to.eql([
    {address: 'e:1', begun: [['m/a', 2]], running: [['m/a', 2]]},
  ]);
  ends[0]();
  expect(tracker.takeDueReports(1)).to.eql([]);
  ends[1]();
  expect(tracker.takeDueReports(2)).to.eql([
    {address: 'e:1', begun: [], running: []},
  ]);
});

it('adapter usage: running calls are reported again, with the number of calls started since', () => {
  const tracker = new AdapterUsageTracker();
  tracker.startUse('e:1', 'm/a');
  tracker.takeDueReports(0);
  tracker.startUse('e:1', 'm/a');
  expect(tracker.takeDueReports(100)).to.eql([]);
  expect(tracker.takeDueReports(5_000)).to.eql([
    {address: 'e:1', begun: [['m/a', 1]], running: [['m/a', 2]]},
  ]);
});
