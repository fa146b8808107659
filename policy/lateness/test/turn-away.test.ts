import {expect} from 'chai';
import {turnAway} from '@marigoldspur/lateness';

it('turn away: who can be served in time is not', () => {
  expect(turnAway({expectedMs: 900, patienceMs: 1_000}, 0.5)).to.equal(
    undefined,
  );
});

it('turn away: the pause grows with what is missing, within bounds', () => {
  const pause = (expectedMs: number) =>
    turnAway({expectedMs, patienceMs: 1_000}, 0.5)!;
  expect(pause(1_001)).to.be.above(0);
  expect(pause(2_500)).to.be.above(pause(1_500));
  expect(pause(60_000)).to.equal(pause(120_000));
});

it('turn away: callers that are turned away together come back spread', () => {
  const pauses = [0, 0.25, 0.5, 0.75].map(random =>
    turnAway({expectedMs: 3_000, patienceMs: 1_000}, random)!,
  );
  expect(new Set(pauses).size).to.equal(4);
  expect(Math.max(...pauses) / Math.min(...pauses)).to.be.above(1.4);
});
