import {expect} from 'chai';
import {SlotReleaseEstimator} from '@marigoldspur/direct-entry';

it('slot release: the interval follows the duration of the service’s calls', () => {
  const turns = new SlotReleaseEstimator();
  const before = turns.releaseIntervalMs('s', 8);
  for (let call = 0; call < 500; call += 1) {
    turns.recordCall('s', 50);
  }
  expect(turns.releaseIntervalMs('s', 8)).to.be.below(before / 10);
  expect(turns.releaseIntervalMs('other', 8)).to.equal(before);
});

it('slot release: an engine with more slots has an idle one sooner', () => {
  const turns = new SlotReleaseEstimator();
  expect(turns.releaseIntervalMs('s', 8)).to.be.below(
    turns.releaseIntervalMs('s', 2),
  );
});
