import {expect} from 'chai';
import {TransitDelayEstimator} from '../src/transit-delay-estimator.js';

const HOUR_MS = 3_600_000;

it('transit delay: the delay of a message is how much longer it took than the fastest one', () => {
  const estimator = new TransitDelayEstimator();
  expect(estimator.delayMs({clock: 'a', atMs: 100}, 5_102)).to.equal(0);
  expect(estimator.delayMs({clock: 'a', atMs: 110}, 5_110)).to.equal(0);
  expect(estimator.delayMs({clock: 'a', atMs: 120}, 6_520)).to.be.closeTo(
    1_400,
    1,
  );
});

it('transit delay: each clock has its own offset', () => {
  const estimator = new TransitDelayEstimator();
  expect(estimator.delayMs({clock: 'a', atMs: 0}, 1_000)).to.equal(0);
  expect(estimator.delayMs({clock: 'b', atMs: 0}, 9_000)).to.equal(0);
  expect(estimator.delayMs({clock: 'a', atMs: 0}, 9_000)).to.be.above(7_000);
});

it('transit delay: clock drift does not count as delay', () => {
  const estimator = new TransitDelayEstimator();
  for (let atMs = 0; atMs < HOUR_MS; atMs += 1_000) {
    const now = atMs * 1.000_1;
    expect(estimator.delayMs({clock: 'slow', atMs}, now)).to.be.below(1);
  }
});

it('transit delay: a delayed message does not change the estimate for the next one', () => {
  const estimator = new TransitDelayEstimator();
  estimator.delayMs({clock: 'a', atMs: 0}, 0);
  expect(estimator.delayMs({clock: 'a', atMs: 10}, 2_010)).to.be.closeTo(
    2_000,
    1,
  );
  expect(estimator.delayMs({clock: 'a', atMs: 20}, 2_020)).to.be.closeTo(
    2_000,
    1,
  );
});
