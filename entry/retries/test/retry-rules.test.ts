import {expect} from 'chai';
import {Refusal, type RefusalOutcome} from '@marigoldspur/faults';
import {
  afterAttempts,
  mayRetry,
  RetryBudget,
  retryPauseMs,
} from '@marigoldspur/retries';

function refusal(outcome: RefusalOutcome, status = 503): Refusal {
  return new Refusal(outcome, status, 'reason', 'message', 1);
}

it('retries: what may have run is retried only where it may run twice', () => {
  const unknown = {refusal: refusal('unknown', 502), answerBegun: false};
  expect(mayRetry({...unknown, repeatable: false})).to.equal(false);
  expect(mayRetry({...unknown, repeatable: true})).to.equal(true);
});

it('retries: what did not run is retried elsewhere', () => {
  const notRun = {refusal: refusal('not-run'), answerBegun: false};
  expect(mayRetry({...notRun, repeatable: false})).to.equal(true);
});

it('retries: nothing is retried once bytes went to the caller', () => {
  const begun = {refusal: refusal('unknown'), answerBegun: true};
  expect(mayRetry({...begun, repeatable: true})).to.equal(false);
});

it('retries: a request that is wrong everywhere is not retried', () => {
  const wrong = {refusal: refusal('not-run', 400), answerBegun: false};
  expect(mayRetry({...wrong, repeatable: true})).to.equal(false);
});

it('retries: "not run" is not said after an attempt that may have run', () => {
  const last = afterAttempts([refusal('unknown')], refusal('not-run'));
  expect(last.outcome).to.equal('unknown');
  const first = afterAttempts([refusal('not-run')], refusal('not-run'));
  expect(first.outcome).to.equal('not-run');
});

it('retries: the budget holds retries below its share', () => {
  const budget = new RetryBudget();
  let spent = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.earn(0.1);
    spent += budget.spend() ? 1 : 0;
  }
  expect(spent).to.be.within(100, 110);
});

it('retries: pauses grow, have jitter and a bound', () => {
  expect(retryPauseMs(2, 0.5)).to.equal(20);
  expect(retryPauseMs(3, 0.5)).to.equal(40);
  expect(retryPauseMs(10, 0.999)).to.be.below(500);
});
