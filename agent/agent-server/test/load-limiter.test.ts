import {expect} from 'chai';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  FallbackLoadLimiter,
  LocalLoadLimiter,
  type LoadPermitRequest,
  type LoadLimiter,
} from '../src/load-limiter.js';

const REQUEST: LoadPermitRequest = {
  store: 'callao-store',
  agent: 'lm-desk-0-agent',
  model: 'recap@v1',
  waiters: 1,
  priority: 5,
  oldestWaitMs: 0,
  usefulMs: 60_000,
};
const GRANTING: LoadLimiter = {
  acquire: async () => Result.ok({release: () => {}}),
};
const NEVER_ABORTED = new AbortController().signal;

it('load limiter: a load that waits for the local limit continues once control is reachable', async () => {
  let isUnreachable = true;
  const local = new LocalLoadLimiter({loadsPerSecond: 0.001});
  const limiter = new FallbackLoadLimiter({
    control: GRANTING,
    local,
    isControlUnreachable: () => isUnreachable,
    onFallback: () => {},
  });
  const first = await limiter.acquire(() => REQUEST, NEVER_ABORTED);
  expect(first.isOk).to.equal(true);
  const second = limiter.acquire(() => REQUEST, NEVER_ABORTED);
  isUnreachable = false;
  expect((await second).isOk).to.equal(true);
});

it('load limiter: a load that waits for control uses the local limit once control is unreachable', async () => {
  let isUnreachable = false;
  const control: LoadLimiter = {
    acquire: (_, signal) =>
      new Promise(resolve =>
        signal.addEventListener('abort', () =>
          resolve(Result.err(new Fault('TIMEOUT', 'control does not answer'))),
        ),
      ),
  };
  let fallbacks = 0;
  const limiter = new FallbackLoadLimiter({
    control,
    local: new LocalLoadLimiter({loadsPerSecond: 1}),
    isControlUnreachable: () => isUnreachable,
    onFallback: () => (fallbacks += 1),
  });
  const permit = limiter.acquire(() => REQUEST, NEVER_ABORTED);
  isUnreachable = true;
  expect((await permit).isOk).to.equal(true);
  expect(fallbacks).to.equal(1);
});
