import {expect} from 'chai';
import {WakeTimer} from '../src/wake-timer.js';

const ONE_HOUR_MS = 3_600_000;

it('wake timer: wakes once, at the earliest requested time', async () => {
  let wakeCount = 0;
  let onWoken: () => void = () => {};
  const timer = new WakeTimer(() => {
    wakeCount += 1;
    onWoken();
  });
  for (let round = 1; round <= 2; round += 1) {
    const wake = new Promise<void>(resolve => {
      onWoken = resolve;
    });
    const now = performance.now();
    timer.wakeBy(now + ONE_HOUR_MS, now);
    timer.wakeBy(now + 1, now);
    timer.wakeBy(now + ONE_HOUR_MS, now);
    await wake;
    expect(wakeCount).to.equal(round);
  }
  timer.stop();
});

it('wake timer: does not wake after it is stopped', async () => {
  let wakeCount = 0;
  const timer = new WakeTimer(() => {
    wakeCount += 1;
  });
  timer.wakeBy(1, 0);
  timer.stop();
  timer.wakeBy(0, 0);
  await new Promise(resolve => setTimeout(resolve, 5));
  expect(wakeCount).to.equal(0);
});
