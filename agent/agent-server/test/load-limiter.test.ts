import {expect} from 'chai';
import {Result} from 'true-myth';
import {Fault} from '@marigoldspur/faults';
import {
  FallbackLoadLimiter,
  LocalLoadLimiter,
  type LoadPermitRequest,
  type LoadLimiter,
} from '../src/load-limiter.js';

const ASK: LoadPermitRequest = {
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
const NEVER = new AbortController().signal;

it('load gate: a load that waits at the share of its agent goes on once control is back', async () => {
  let away = true;
  const share = new LocalLoadLimiter({loadsPerSecond: 0.001});
  const gate = new FallbackLoadLimiter({
    control: GRANTING,
    share,
    isAway: () => away,
    turned: () => {},
  });
  const first = await gate.acquire(() => ASK, NEVER);
  expect(first.isOk).to.equal(true);
  const second = gate.acquire(() => ASK, NEVER);
  away = false;
  expect((await second).isOk).to.equal(true);
});

it('load gate: a load that waits at control turns to the share once control is away', async () => {
  let away = false;
  const control: LoadLimiter = {
    acquire: (_, signal) =>
      new Promise(resolve =>
        signal.addEventListener('abort', () =>
          resolve(Result.err(new Fault('TIMEOUT', 'control does not answer'))),
        ),
      ),
  };
  let turned = 0;
  const gate = new FallbackLoadLimiter({
    control,
    share: new LocalLoadLimiter({loadsPerSecond: 1}),
    isAway: () => away,
    turned: () => (turned += 1),
  });
  const ticket = gate.acquire(() => ASK, NEVER);
  away = true;
  expect((await ticket).isOk).to.equal(true);
  expect(turned).to.equal(1);
});
