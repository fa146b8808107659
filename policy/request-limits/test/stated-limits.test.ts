import {expect} from 'chai';
import {StatedLimits} from '@marigoldspur/request-limits';

let limits: StatedLimits;

beforeEach(() => (limits = new StatedLimits()));

it('stated limits: a limit rises, falls and ceases with the responses', () => {
  expect(limits.recordResponse('t', 4, 0, 10)).to.equal(true);
  expect(limits.recordResponse('t', 4, 15, 20)).to.equal(false);
  expect(limits.recordResponse('t', 1.5, 25, 30)).to.equal(true);
  expect(limits.perSecond('t')).to.equal(1.5);
  expect(limits.recordResponse('t', undefined, 35, 40)).to.equal(true);
  expect(limits.perSecond('t')).to.equal(undefined);
});

it('stated limits: a response to a call from before the limit was stated does not lift it', () => {
  limits.recordResponse('t', 4, 0, 10);
  expect(limits.recordResponse('t', undefined, 5, 20)).to.equal(false);
  expect(limits.perSecond('t')).to.equal(4);
});

it('stated limits: the newest statement counts, whoever learned it', () => {
  limits.recordResponse('t', 4, 0, 10);
  expect(limits.record('t', {perSecond: 1, at: 5})).to.equal(false);
  expect(limits.record('t', {perSecond: undefined, at: 20})).to.equal(true);
  expect(limits.record('t', {perSecond: 1, at: 15})).to.equal(false);
  expect(limits.perSecond('t')).to.equal(undefined);
});

it('stated limits: a target that starts anew has no limit', () => {
  limits.recordResponse('t/1', 4, 0, 10);
  expect(limits.perSecond('t/2')).to.equal(undefined);
  limits.retain(new Set(['t/2']));
  expect(limits.entries().size).to.equal(0);
});
