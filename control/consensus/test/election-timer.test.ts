import {expect} from 'chai';
import {ElectionTimer} from '@marigoldspur/consensus';

const TIMEOUT_MS = 1_000;

function timerWith(random: number): ElectionTimer {
  return new ElectionTimer({
    id: 'r',
    electionTimeoutMs: TIMEOUT_MS,
    heartbeatMs: TIMEOUT_MS / 4,
    random: () => random,
  });
}

it('first election: the delay at startup is shorter than the election timeout', () => {
  for (const random of [0, 0.5, 0.999]) {
    const timer = timerWith(random);
    timer.scheduleFirst(0);
    const afterStart = timer.dueAt;
    timer.reset(0);
    expect(afterStart).to.be.below(TIMEOUT_MS);
    expect(afterStart).to.be.below(timer.dueAt);
  }
});

it('first election: the delay is randomized across replicas that start together', () => {
  const early = timerWith(0);
  const late = timerWith(0.999);
  early.scheduleFirst(0);
  late.scheduleFirst(0);
  expect(late.dueAt - early.dueAt).to.be.above(TIMEOUT_MS / 4);
});
