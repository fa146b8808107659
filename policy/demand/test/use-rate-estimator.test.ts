import {expect} from 'chai';
import {UseRateEstimator} from '@marigoldspur/demand';

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

function table(maxModels = 10): UseRateEstimator {
  return new UseRateEstimator({halfLifeMs: 5 * MINUTE_MS, maxModels});
}

/**
 * Records `times` uses of an adapter, `everyMs` apart, the last one at `end`.
 */
function use(
  rates: UseRateEstimator,
  model: string,
  {times, everyMs, end}: {times: number; everyMs: number; end: number},
): void {
  for (let left = times - 1; left >= 0; left -= 1) {
    rates.recordUse(model, end - left * everyMs);
  }
}

it('rate: an adapter that was never used has rate 0', () => {
  expect(table().rate('a@v1', 0)).to.equal(0);
});

it('rate: a new adapter with a higher rate outranks an old one with more uses', () => {
  const rates = table();
  const end = 20 * MINUTE_MS;
  use(rates, 'old@v1', {times: 20, everyMs: MINUTE_MS, end});
  use(rates, 'new@v1', {times: 6, everyMs: 5 * SECOND_MS, end});
  expect(rates.rate('new@v1', end)).to.be.greaterThan(
    rates.rate('old@v1', end),
  );
});

it('rate: a hot adapter that is no longer used drops below a slow one', () => {
  const rates = table();
  const end = 20 * MINUTE_MS;
  use(rates, 'hot@v1', {times: 600, everyMs: 2 * SECOND_MS, end});
  use(rates, 'slow@v1', {times: 20, everyMs: MINUTE_MS, end});
  expect(rates.rate('hot@v1', end)).to.be.greaterThan(
    rates.rate('slow@v1', end),
  );
  const later = end + MINUTE_MS;
  expect(rates.rate('hot@v1', later)).to.be.lessThan(
    rates.rate('slow@v1', later),
  );
});

it('rate: a silence of days gives a finite rate', () => {
  const rates = table();
  use(rates, 'hot@v1', {times: 600, everyMs: SECOND_MS, end: 0});
  expect(rates.rate('hot@v1', 7 * 24 * 60 * MINUTE_MS)).to.be.within(0, 1e-6);
});

it('rate: the least recently used adapter is evicted', () => {
  const rates = table(2);
  ['a@v1', 'b@v1', 'a@v1', 'c@v1'].forEach((model, at) =>
    rates.recordUse(model, at),
  );
  expect(rates.size).to.equal(2);
  expect(rates.rate('b@v1', 4)).to.equal(0);
});

it('rate: a new version inherits the rate of the last one', () => {
  const rates = table();
  const end = 20 * MINUTE_MS;
  use(rates, 'a@v1', {times: 100, everyMs: 10 * SECOND_MS, end});
  use(rates, 'b@v1', {times: 20, everyMs: MINUTE_MS, end});
  rates.recordUse('a@v2', end);
  expect(rates.rate('a@v2', end)).to.be.greaterThan(rates.rate('b@v1', end));
});

it('rate: a version that is used again keeps its own history', () => {
  const rates = table();
  const end = 20 * MINUTE_MS;
  use(rates, 'a@v1', {times: 100, everyMs: 10 * SECOND_MS, end});
  use(rates, 'a@v2', {times: 1, everyMs: SECOND_MS, end});
  const before = rates.rate('a@v1', end);
  rates.inheritHistory('a@v1', 'a@v2', end);
  expect(rates.rate('a@v1', end)).to.equal(before);
});

it('rate: the history of an evicted version is not inherited', () => {
  const rates = table(1);
  use(rates, 'a@v1', {times: 100, everyMs: SECOND_MS, end: MINUTE_MS});
  rates.recordUse('b@v1', MINUTE_MS);
  rates.recordUse('a@v2', MINUTE_MS);
  rates.recordUse('c@v1', MINUTE_MS);
  rates.recordUse('a@v3', MINUTE_MS);
  const alone = table();
  alone.recordUse('a@v3', MINUTE_MS);
  expect(rates.rate('a@v3', MINUTE_MS)).to.equal(alone.rate('a@v3', MINUTE_MS));
});
