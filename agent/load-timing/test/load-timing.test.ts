import {expect} from 'chai';
import {LoadBackoff, LoadTimeEstimator} from '@marigoldspur/load-timing';

it('load backoff: each delay is twice the previous one up to the maximum', () => {
  const backoff = new LoadBackoff({
    initialDelayMs: 100,
    maxDelayMs: 350,
    random: () => 1,
  });
  const delays = [0, 1, 2, 3].map(now => backoff.recordFailure('a@1', now));
  expect(delays).to.deep.equal([100, 200, 350, 350]);
});

it('load backoff: jitter reduces a delay by up to half', () => {
  const backoff = new LoadBackoff({initialDelayMs: 100, random: () => 0});
  expect(backoff.recordFailure('a@1', 0)).to.equal(50);
  expect(backoff.remainingDelayMs('a@1', 20)).to.equal(30);
  expect(backoff.remainingDelayMs('a@1', 50)).to.equal(0);
  expect(backoff.remainingDelayMs('b@1', 20)).to.equal(0);
});

it('load backoff: a success resets the delay', () => {
  const backoff = new LoadBackoff({initialDelayMs: 100, random: () => 1});
  backoff.recordFailure('a@1', 0);
  backoff.recordSuccess('a@1');
  expect(backoff.remainingDelayMs('a@1', 1)).to.equal(0);
  expect(backoff.recordFailure('a@1', 1)).to.equal(100);
});

it('load time estimator: the estimate grows with the queue length and the load durations', () => {
  const estimator = new LoadTimeEstimator();
  estimator.recordDuration(200);
  expect(estimator.estimateWaitMs(2)).to.equal(600);
  estimator.recordDuration(1_200);
  expect(estimator.estimateWaitMs(2)).to.be.greaterThan(600);
});

it('load time estimator: the estimate is 0 if no load is queued', () => {
  const estimator = new LoadTimeEstimator();
  estimator.recordDuration(1_000_000);
  expect(estimator.estimateWaitMs(0)).to.equal(0);
});
