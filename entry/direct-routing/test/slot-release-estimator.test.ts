import {expect} from 'chai';
import {SlotReleaseEstimator} from '@marigoldspur/direct-routing';

it('slot release: the interval follows the duration of the service’s calls', () => {
  const estimator = new SlotReleaseEstimator();
  const before = estimator.releaseIntervalMs('s', 8);
  for (let call = 0; call < 500; call += 1) {
    estimator.recordCall('s', 50);
  }
  expect(estimator.releaseIntervalMs('s', 8)).to.be.below(before / 10);
  expect(estimator.releaseIntervalMs('other', 8)).to.equal(before);
});

it('slot release: an engine with more slots has an idle one sooner', () => {
  const estimator = new SlotReleaseEstimator();
  expect(estimator.releaseIntervalMs('s', 8)).to.be.below(
    estimator.releaseIntervalMs('s', 2),
  );
});
