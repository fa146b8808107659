import {expect} from 'chai';
import {UseRateEstimator} from '@marigoldspur/adapter-use-rates';

const MS_PER_SECOND = 1_000;
const MINUTE_MS = 60 * MS_PER_SECOND;

function createEstimator(maxModels = 10): UseRateEstimator {
  return new UseRateEstimator({halfLifeMs: 5 * MINUTE_MS, maxModels});
}

/**
 * Records `times` uses of an adapter, `everyMs` apart, the last one at `end`.
 */
function use(
  estimator: UseRateEstimator,
  model: string,
  {times, everyMs, end}: {times: number; everyMs: number; end: number},
): void {
  for (let left = times - 1; left >= 0; left -= 1) {
    estimator.recordUse(model, end - left * everyMs);
  }
}

it('use rate: an adapter that was never used has rate 0', () => {
  expect(createEstimator().rate('a@v1', 0)).to.equal(0);
});

it('use rate: a new adapter with a higher rate outranks an old one with more uses', () => {
  const estimator = createEstimator();
  const end = 20 * MINUTE_MS;
  use(estimator, 'old@v1', {times: 20, everyMs: MINUTE_MS, end});
  use(estimator, 'new@v1', {times: 6, everyMs: 5 * MS_PER_SECOND, end});
  expect(estimator.rate('new@v1', end)).to.be.greaterThan(
    estimator.rate('old@v1', end),
  );
});

it('use rate: a hot adapter that is no longer used drops below a slow one', () => {
  const estimator = createEstimator();
  const end = 20 * MINUTE_MS;
  use(estimator, 'hot@v1', {times: 600, everyMs: 2 * MS_PER_SECOND, end});
  use(estimator, 'slow@v1', {times: 20, everyMs: MINUTE_MS, end});
  expect(estimator.rate('hot@v1', end)).to.be.greaterThan(
    estimator.rate('slow@v1', end),
  );
  const later = end + MINUTE_MS;
  expect(estimator.rate('hot@v1', later)).to.be.lessThan(
    estimator.rate('slow@v1', later),
  );
});

it('use rate: a silence of days gives a finite rate', () => {
  const estimator = createEstimator();
  use(estimator, 'hot@v1', {times: 600, everyMs: MS_PER_SECOND, end: 0});
  expect(estimator.rate('hot@v1', 7 * 24 * 60 * MINUTE_MS)).to.be.within(
    0,
    1e-6,
  );
});

it('use rate: the least recently used adapter is evicted', () => {
  const estimator = createEstimator(2);
  ['a@v1', 'b@v1', 'a@v1', 'c@v1'].forEach((model, at) =>
    estimator.recordUse(model, at),
  );
  expect(estimator.size).to.equal(2);
  expect(estimator.rate('b@v1', 4)).to.equal(0);
});

it('use rate: a new version inherits the rate of the last one', () => {
  const estimator = createEstimator();
  const end = 20 * MINUTE_MS;
  use(estimator, 'a@v1', {times: 100, everyMs: 10 * MS_PER_SECOND, end});
  use(estimator, 'b@v1', {times: 20, everyMs: MINUTE_MS, end});
  estimator.recordUse('a@v2', end);
  expect(estimator.rate('a@v2', end)).to.be.greaterThan(
    estimator.rate('b@v1', end),
  );
});

it('use rate: a version that is used again keeps its own history', () => {
  const estimator = createEstimator();
  const end = 20 * MINUTE_MS;
  use(estimator, 'a@v1', {times: 100, everyMs: 10 * MS_PER_SECOND, end});
  use(estimator, 'a@v2', {times: 1, everyMs: MS_PER_SECOND, end});
  const before = estimator.rate('a@v1', end);
  estimator.inheritHistory('a@v1', 'a@v2', end);
  expect(estimator.rate('a@v1', end)).to.equal(before);
});

it('use rate: the history of an evicted version is not inherited', () => {
  const estimator = createEstimator(1);
  use(estimator, 'a@v1', {times: 100, everyMs: MS_PER_SECOND, end: MINUTE_MS});
  estimator.recordUse('b@v1', MINUTE_MS);
  estimator.recordUse('a@v2', MINUTE_MS);
  estimator.recordUse('c@v1', MINUTE_MS);
  estimator.recordUse('a@v3', MINUTE_MS);
  const alone = createEstimator();
  alone.recordUse('a@v3', MINUTE_MS);
  expect(estimator.rate('a@v3', MINUTE_MS)).to.equal(
    alone.rate('a@v3', MINUTE_MS),
  );
});
