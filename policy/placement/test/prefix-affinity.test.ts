import {expect} from 'chai';
import {
  DemandAwarePlacement,
  LeastLoadedPlacement,
  PrefixAffinityPlacement,
  type PlacementCandidate,
  type PlacementPolicy,
} from '@marigoldspur/placement';

const MODEL = 'recap@v1';
const HALF = 0.5;

function holder(
  name: string,
  load: number,
  part: Partial<PlacementCandidate> = {},
) {
  const resident = new Set([MODEL]);
  const room = {slots: 2, batchLimit: 10};
  return {name, zone: 'lima-a', resident, load, ...room, ...part};
}

function choose(
  weight: number,
  shares: Record<string, number>,
  candidates: readonly PlacementCandidate[],
  inner: PlacementPolicy = new LeastLoadedPlacement(),
) {
  const placement = new PrefixAffinityPlacement(inner, weight);
  const request = {
    model: MODEL,
    zone: 'lima-a',
    cachedShares: new Map(Object.entries(shares)),
  };
  return placement.choose(request, candidates, 0)?.name;
}

it('prefix affinity: of two holders the one with the longer prefix is chosen', () => {
  const candidates = [holder('a', 0), holder('b', 1), holder('c', 1)];
  expect(choose(1, {b: 0.3, c: 0.9}, candidates)).to.equal('c');
});

it('prefix affinity: a target without the adapter is never chosen for its prefix', () => {
  const other = holder('b', 0, {resident: new Set()});
  const chosen = choose(1, {b: 1}, [holder('a', 0), other]);
  expect(chosen).to.equal('a');
});

it('prefix affinity: a full batch is never chosen for its prefix', () => {
  const candidates = [holder('a', 5), holder('b', 10)];
  expect(choose(1, {b: 1}, candidates)).to.equal('a');
});

it('prefix affinity: the weight bounds how much fuller a batch may be', () => {
  const fuller = (load: number) => [holder('a', 0), holder('b', load)];
  expect(choose(HALF, {b: 1}, fuller(4))).to.equal('b');
  expect(choose(HALF, {b: 1}, fuller(6))).to.equal('a');
  expect(choose(HALF, {b: HALF}, fuller(4))).to.equal('a');
});

it('prefix affinity: a choice that requires a load is not changed', () => {
  const empty = holder('a', 0, {resident: new Set()});
  expect(choose(1, {b: 1}, [empty, holder('b', 1)])).to.equal('a');
});

it('prefix affinity: a less loaded holder without the prefix does not change the choice', () => {
  const fullest = new DemandAwarePlacement({stallWeight: 0});
  const candidates = [holder('a', 3), holder('b', 10), holder('c', 0)];
  expect(choose(1, {b: 1}, candidates, fullest)).to.equal('a');
});
