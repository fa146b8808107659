import {expect} from 'chai';
import {RetryLimiter} from '@marigoldspur/direct-routing';

const SERVICE = 's';
/** Retries per second of a limiter whose calls earn none. */
const PER_SECOND = 10;
const BURST_SECONDS = 4;

it('retry limiter: retries that are refused do not use up the allowance', async () => {
  const windowMs = 6_000;
  const limiter = new RetryLimiter({
    allowance: {
      ratio: 0,
      slack: (PER_SECOND * (windowMs / 1_000 + BURST_SECONDS)) / 0.8,
      windowMs,
    },
    entries: () => 1,
  });
  const {signal} = new AbortController();
  const burst = Array.from({length: 200}, () =>
    limiter.acquire(SERVICE, signal),
  );
  const granted = (await Promise.all(burst)).filter(Boolean);
  expect(granted.length)
    .to.be.at.least(PER_SECOND * 0.5)
    .and.below(100);
  expect(await limiter.acquire(SERVICE, signal)).to.equal(true);
});
