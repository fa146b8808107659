import {expect} from 'chai';
import {elapsedMs} from '@marigoldspur/clock-readings';

it('elapsed time: it is infinite if the machine may have been suspended', () => {
  const start = {monotonicMs: 1_000, wallMs: 50_000};
  const at = (monotonicMs: number, wallMs: number) =>
    elapsedMs(start, {monotonicMs, wallMs});
  expect(at(1_300, 50_310)).to.equal(310);
  expect(at(1_300, 60_000)).to.equal(Infinity);
  expect(at(1_300, 40_000)).to.equal(Infinity);
});
