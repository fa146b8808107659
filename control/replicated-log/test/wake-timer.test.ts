import {expect} from 'chai';
import {WakeTimer} from '../src/wake-timer.js';

const FAR_MS = 3_600_000;

it('clock: wakes at the earliest time asked for, once for all', async () => {
  let wakes = 0;
  let woken: () => void = () => {};
  const timer = new WakeTimer(() => {
    wakes += 1;
    woken();
  });
  for (let round = 1; round <= 2; round += 1) {
    const wake = new Promise<void>(resolve => {
      woken = resolve;
    });
    const now = performance.now();
    timer.wakeBy(now + FAR_MS, now);
    timer.wakeBy(now + 1, now);
    timer.wakeBy(now + FAR_MS, now);
    await wake;
    expect(wakes).to.equal(round);
  }
  timer.stop();
});

it('clock: does not wake once it is stopped', async () => {
  let wakes = 0;
  const timer = new WakeTimer(() => {
    wakes += 1;
  });
  timer.wakeBy(1, 0);
  timer.stop();
  timer.wakeBy(0, 0);
  await new Promise(resolve => setTimeout(resolve, 5));
  expect(wakes).to.equal(0);
});
