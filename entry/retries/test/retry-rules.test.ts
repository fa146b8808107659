import {expect} from 'chai';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {
  combineRefusals,
  isRetryAllowed,
  RetryBudget,
  retryDelayMs,
} from '@marigoldspur/retries';

function refusal(outcome: RefusalOutcome, status = 503): Refusal {
  return new Refusal(outcome, status, 'reason', 'message', 1);
}

it('retries: a request that may have run is retried only if it may run twice', () => {
  const unknown = {refusal: refusal('unknown', 502), hasResponseStarted: false};
  expect(isRetryAllowed({...unknown, repeatable: false})).to.equal(false);
  expect(isRetryAllowed({...unknown, repeatable: true})).to.equal(true);
});

it('retries: a request that did not run is retried at another target', () => {
  const notRun = {refusal: refusal('not-run'), hasResponseStarted: false};
  expect(isRetryAllowed({...notRun, repeatable: false})).to.equal(true);
});

it('retries: a request is not retried once bytes were sent to the caller', () => {
  const started = {refusal: refusal('unknown'), hasResponseStarted: true};
  expect(isRetryAllowed({...started, repeatable: true})).to.equal(false);
});

it('retries: an invalid request is not retried', () => {
  const wrong = {refusal: refusal('not-run', 400), hasResponseStarted: false};
  expect(isRetryAllowed({...wrong, repeatable: true})).to.equal(false);
});

it('retries: the outcome is not "not-run" after an attempt that may have run', () => {
  const last = combineRefusals([refusal('unknown')], refusal('not-run'));
  expect(last.outcome).to.equal('unknown');
  const first = combineRefusals([refusal('not-run')], refusal('not-run'));
  expect(first.outcome).to.equal('not-run');
});

it('retries: the budget keeps retries within their share', () => {
  const budget = new RetryBudget();
  let spent = 0;
  for (let request = 0; request < 2_000; request += 1) {
    const now = request * 10;
    budget.recordRequest(0.1, now);
    const retryAt = now + (budget.reserveRetry(now) ?? Infinity);
    spent += retryAt >= 10_000 && retryAt < 20_000 ? 1 : 0;
  }
  expect(spent).to.be.within(100, 110);
});

it('retries: requests that fail at the same time are retried at the allowed rate', () => {
  const budget = new RetryBudget();
  const [ratio, perSecond, failed] = [0.1, 100, 50];
  for (let now = 0; now < 30_000; now += 1_000 / perSecond) {
    budget.recordRequest(ratio, now);
  }
  const waits = Array.from({length: failed}, () => budget.reserveRetry(30_000));
  const delays = waits.filter(wait => wait !== undefined);
  const share = ratio * perSecond;
  for (const second of [0, 1, 2]) {
    const inSecond = delays.filter(wait => Math.floor(wait / 1_000) === second);
    const savedUp = second === 0 ? share : 0;
    expect(inSecond.length).to.be.within(share / 2, share + savedUp);
  }
  expect(delays.length).to.be.below(failed);
  expect(waits.slice(delays.length)).to.deep.equal(
    Array(failed - delays.length).fill(undefined),
  );
});

it('retries: an entry with few requests may still retry', () => {
  const budget = new RetryBudget();
  budget.recordRequest(0.1, 60_000);
  expect(budget.reserveRetry(60_000)).to.equal(0);
  expect(budget.reserveRetry(60_000)).to.equal(1_000);
});

it('retries: delays grow, have jitter and are bounded', () => {
  expect(retryDelayMs(2, 0.5)).to.equal(20);
  expect(retryDelayMs(3, 0.5)).to.equal(40);
  expect(retryDelayMs(10, 0.999)).to.be.below(500);
});
