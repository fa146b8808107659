import {expect} from 'chai';
import {AdapterUseTracker} from '@marigoldspur/engine-agent';

const ENTRY = 'e1';

it('adapter use tracker: an adapter is unused as soon as an entry reports that its last call has ended', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: ENTRY, begun: [['m/a', 1]], running: [['m/a', 1]]}, 0);
  expect(uses.isUsed('m/a', 10)).to.equal(true);
  uses.update({entry: ENTRY, begun: [], running: []}, 20);
  expect(uses.isUsed('m/a', 20)).to.equal(false);
  expect(uses.usedAt('m/a')).to.equal(0);
});

it('adapter use tracker: a prepared adapter counts as used until the call that requested it is reported', () => {
  const uses = new AdapterUseTracker();
  uses.expectUse('m/a', 0);
  uses.update({entry: ENTRY, begun: [], running: []}, 1);
  expect(uses.isUsed('m/a', 2)).to.equal(true);
  expect(uses.isUsed('m/a', 60_000)).to.equal(false);
});

it('adapter use tracker: the calls of an entry that stopped reporting expire', () => {
  const uses = new AdapterUseTracker();
  uses.update({entry: ENTRY, begun: [], running: [['m/a', 1]]}, 0);
  expect(uses.isUsed('m/a', 60_000)).to.equal(false);
});
