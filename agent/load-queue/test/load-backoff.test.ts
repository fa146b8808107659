import {expect} from 'chai';
import {LoadBackoff, LoadTimeEstimator} from '@marigoldspur/load-queue';

it('load backoff: each pause is twice the last, with a bound', () => {
  const backoff = new LoadBackoff({
    initialDelayMs: 100,
    maxDelayMs: 350,
    random: () => 1,
  });
  const pauses = [0, 1, 2, 3].map(now => backoff.recordFailure('a@1', now));
  expect(pauses).to.deep.equal([100, 200, 350, 350]);
});

it('load backoff: jitter takes off up to half of a pause', () => {
  const backoff = new LoadBackoff({initialDelayMs: 100, random: () => 0});
  expect(backoff.recordFailure('a@1', 0)).to.equal(50);
  expect(backoff.remainingDelayMs('a@1', 20)).to.equal(30);
  expect(backoff.remainingDelayMs('a@1', 50)).to.equal(0);
  expect(backoff.remainingDelayMs('b@1', 20)).to.equal(0);
});

it('load backoff: a success ends it', () => {
  const backoff = new LoadBackoff({initialDelayMs: 100, random: () => 1});
  backoff.recordFailure('a@1', 0);
  backoff.recordSuccess('a@1');
  expect(backoff.remainingDelayMs('a@1', 1)).to.equal(0);
  expect(backoff.recordFailure('a@1', 1)).to.equal(100);
});

it('load forecast: grows with the loads ahead and with their time', () => {
  const forecast = new LoadTimeEstimator();
  forecast.recordDuration(200);
  expect(forecast.estimateWaitMs(2)).to.equal(600);
  forecast.recordDuration(1_200);
  expect(forecast.estimateWaitMs(2)).to.be.greaterThan(600);
});

it('load forecast: with none ahead a load is always tried', () => {
  const forecast = new LoadTimeEstimator();
  forecast.recordDuration(1_000_000);
  expect(forecast.estimateWaitMs(0)).to.equal(0);
});
