import {expect} from 'chai';
import {createLoadOrder, type PendingLoad} from '@marigoldspur/load-order';

function load(model: string, part: Partial<PendingLoad> = {}): PendingLoad {
  return {model, askedAt: 0, waiters: 1, priority: 5, ...part};
}

function order(loads: readonly PendingLoad[], now: number): string[] {
  return createLoadOrder('least-harm')
    .sort(loads, now)
    .map(({model}) => model);
}

it('load order: a load with more waiters goes first', () => {
  const loads = [load('one'), load('three', {waiters: 3})];
  expect(order(loads, 0)).to.deep.equal(['three', 'one']);
});

it('load order: a higher priority goes first', () => {
  const loads = [load('usual'), load('urgent', {priority: 2})];
  expect(order(loads, 0)).to.deep.equal(['urgent', 'usual']);
});

it('load order: prefetches go last', () => {
  const loads = [
    load('prefetch', {waiters: 0, askedAt: -1e6}),
    load('requested'),
  ];
  expect(order(loads, 0)).to.deep.equal(['requested', 'prefetch']);
  expect(createLoadOrder('first-come').next(loads, 0)?.model).to.equal(
    'requested',
  );
});

it('load order: new loads with many waiters do not starve an old load', () => {
  const old = load('old');
  const crowd = (now: number) => load('crowd', {waiters: 10, askedAt: now});
  expect(order([old, crowd(0)], 0)[0]).to.equal('crowd');
  const later = 30_000;
  expect(order([old, crowd(later)], later)[0]).to.equal('old');
});

it('load order: first-come lets an urgent load overtake loads that waited only a little longer', () => {
  const order = createLoadOrder('first-come');
  const urgent = load('urgent', {priority: 3, askedAt: 3_000});
  const names = (askedAt: number) =>
    order
      .sort([load('usual', {askedAt}), urgent], 10_000)
      .map(({model}) => model);
  expect(names(1_000)).to.deep.equal(['urgent', 'usual']);
  expect(names(-2_000)).to.deep.equal(['usual', 'urgent']);
});

it('load order: first-come does not count waiters', () => {
  const loads = [load('crowd', {waiters: 9, askedAt: 1}), load('one')];
  const first = createLoadOrder('first-come').next(loads, 10);
  expect(first?.model).to.equal('one');
});
