import {expect} from 'chai';
import {lateCallRetryDelayMs} from '@marigoldspur/overload-protection';

const PATIENCE_MS = 1_000;

function retryDelay(
  waitMs: number,
  processingMs = 0,
  random = 0.5,
): number | undefined {
  return lateCallRetryDelayMs(
    {waitMs, processingMs, patienceMs: PATIENCE_MS},
    random,
  );
}

it('late call retry delay: a call that can be served in time is accepted', () => {
  expect(retryDelay(900)).to.equal(undefined);
  expect(retryDelay(600, 300)).to.equal(undefined);
});

it('late call retry delay: a call that would be served too late is refused', () => {
  expect(retryDelay(1_100)).to.be.above(0);
  expect(retryDelay(800, 300)).to.be.above(0);
});

it('late call retry delay: a call with a long processing time is accepted by an idle target', () => {
  expect(retryDelay(0, 60_000)).to.equal(undefined);
  expect(retryDelay(400, 60_000)).to.equal(undefined);
});

it('late call retry delay: the retry delay grows with the lateness, within bounds', () => {
  expect(retryDelay(2_500)).to.be.above(retryDelay(1_500)!);
  expect(retryDelay(60_000)).to.equal(retryDelay(120_000));
});

it('late call retry delay: callers refused together get different retry delays', () => {
  const delays = [0, 0.25, 0.5, 0.75].map(random =>
    retryDelay(3_000, 0, random)!,
  );
  expect(new Set(delays).size).to.equal(4);
  expect(Math.max(...delays) / Math.min(...delays)).to.be.above(1.4);
});
