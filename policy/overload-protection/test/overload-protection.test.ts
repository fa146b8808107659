import {expect} from 'chai';
import {
  findLateLoads,
  OverloadDetector,
} from '@marigoldspur/overload-protection';

const load = (name: string, deadline: number) => ({name, askedAt: 0, deadline});

it('late loads: loads that would end after their deadline are found', () => {
  const loads = [load('a', 1_000), load('b', 1_000), load('c', 5_000)];
  const late = findLateLoads(loads, {storeFreeAt: 0, loadMs: 600, patience: 1});
  expect(late.map(({name}) => name)).to.deep.equal(['b']);
});

it('late loads: a late load takes no time from later loads', () => {
  const loads = [load('late', 100), load('b', 600)];
  const late = findLateLoads(loads, {storeFreeAt: 0, loadMs: 600, patience: 1});
  expect(late.map(({name}) => name)).to.deep.equal(['late']);
});

it('late loads: patience is a share of the time to the deadline', () => {
  const loads = [load('a', 1_000)];
  const options = {storeFreeAt: 0, loadMs: 600};
  expect(findLateLoads(loads, {...options, patience: 1})).to.have.length(0);
  expect(findLateLoads(loads, {...options, patience: 0.5})).to.have.length(1);
});

it('overload detector: a burst is not overload, a lasting queue is', () => {
  const detector = new OverloadDetector({
    beginAfterMs: () => 1_000,
    endAfterMs: 200,
  });
  detector.update(true, 0);
  detector.update(false, 500);
  detector.update(true, 1_400);
  expect(detector.isOverloaded).to.equal(false);
  detector.update(true, 1_500);
  expect(detector.isOverloaded).to.equal(true);
});

it('overload detector: it ends once the queue has been short for endAfterMs', () => {
  const detector = new OverloadDetector({
    beginAfterMs: () => 1_000,
    endAfterMs: 200,
  });
  detector.update(true, 0);
  detector.update(true, 1_000);
  detector.update(false, 1_199);
  expect(detector.isOverloaded).to.equal(true);
  detector.update(false, 1_200);
  expect(detector.isOverloaded).to.equal(false);
});
