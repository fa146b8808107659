import {expect} from 'chai';
import {lateCallRetryDelayMs} from '@marigoldspur/lateness';

const PATIENCE_MS = 1_000;

function pause(waitMs: number, ownMs = 0, random = 0.5): number | undefined {
  return lateCallRetryDelayMs({waitMs, ownMs, patienceMs: PATIENCE_MS}, random);
}

it('turn away: who can be served in time is not', () => {
  expect(pause(900)).to.equal(undefined);
  expect(pause(600, 300)).to.equal(undefined);
});

it('turn away: who would be served too late is', () => {
  expect(pause(1_100)).to.be.above(0);
  expect(pause(800, 300)).to.be.above(0);
});

it('turn away: a call that is long by itself goes to an idle target', () => {
  expect(pause(0, 60_000)).to.equal(undefined);
  expect(pause(400, 60_000)).to.equal(undefined);
});

it('turn away: the pause grows with what is missing, within bounds', () => {
  expect(pause(2_500)).to.be.above(pause(1_500)!);
  expect(pause(60_000)).to.equal(pause(120_000));
});

it('turn away: callers that are turned away together come back spread', () => {
  const pauses = [0, 0.25, 0.5, 0.75].map(random => pause(3_000, 0, random)!);
  expect(new Set(pauses).size).to.equal(4);
  expect(Math.max(...pauses) / Math.min(...pauses)).to.be.above(1.4);
});
