import {expect} from 'chai';
import fc from 'fast-check';
import {
  chooseEngine,
  rankEngines,
  type EngineCandidate,
  type EngineRequest,
} from '@marigoldspur/engine-choice';
import {rendezvousOrder} from '@marigoldspur/placement';

/** Costs as the ranking took them for granted before speeds were learned, in milliseconds. */
const LOADS_MS = {
  held: 0,
  loading: 125,
  recent: 25,
  absent: 400,
  'no-model': 1_400,
};

/** The ranking as it was before speeds were learned. */
function formerRanking(
  request: EngineRequest,
  candidates: readonly EngineCandidate[],
): string[] {
  return rendezvousOrder(request.affinityKey, candidates)
    .map((candidate, rank) => ({
      name: candidate.name,
      costMs: formerCostMs(request, candidate, rank),
    }))
    .sort((a, b) => a.costMs - b.costMs)
    .map(({name}) => name);
}

function formerCostMs(
  request: EngineRequest,
  candidate: EngineCandidate,
  rank: number,
): number {
  const {adapterState, idleSlots, pendingTokens, running, waiting} = candidate;
  const takesSlot = adapterState === 'recent' || adapterState === 'absent';
  const missingSlots = takesSlot
    ? Math.max(0, 1 - idleSlots)
    : adapterState === 'loading'
      ? Math.max(0, -idleSlots)
      : 0;
  const uncached = Math.max(0, request.promptTokens - candidate.cachedTokens);
  const share =
    candidate.memoryUsed + request.memoryTokens / candidate.tokenMemory;
  return (
    Math.max(pendingTokens / 35, waiting * 120) +
    missingSlots * candidate.slotReleaseIntervalMs +
    (running >= candidate.batchLimit ? 400 : 0) +
    uncached / 35 +
    LOADS_MS[adapterState] +
    rank * 4 +
    (takesSlot ? 400 / Math.max(1, idleSlots) : 0) +
    running * 2 +
    (share > 0.92 ? 1_500 * (1 + share - 0.92) : 0) +
    (candidate.zone === request.zone ? 0 : 3) +
    candidate.failureRate * 1_500
  );
}

const CANDIDATE = fc.record({
  zone: fc.constantFrom('z1', 'z2'),
  adapterState: fc.constantFrom<EngineCandidate['adapterState']>(
    'held',
    'loading',
    'recent',
    'absent',
    'no-model',
  ),
  idleSlots: fc.integer({min: -4, max: 8}),
  slotReleaseIntervalMs: fc.constant(250),
  cachedTokens: fc.integer({min: 0, max: 12_000}),
  pendingTokens: fc.integer({min: 0, max: 60_000}),
  running: fc.integer({min: 0, max: 70}),
  waiting: fc.integer({min: 0, max: 12}),
  batchLimit: fc.constant(64),
  tokenMemory: fc.constant(200_000),
  memoryUsed: fc.double({min: 0, max: 0.8, noNaN: true}),
  promisedTokens: fc.integer({min: 0, max: 20_000}),
  failureRate: fc.double({min: 0, max: 1, noNaN: true}),
});
const CANDIDATES = fc
  .array(CANDIDATE, {minLength: 1, maxLength: 35})
  .map(candidates =>
    candidates.map((candidate, index) => ({
      ...candidate,
      name: `e${index}`,
      prefillFactor: 1,
      decodeFactor: 1,
      pace: 1,
    })),
  );
const REQUEST = fc.record({
  affinityKey: fc.string(),
  zone: fc.constant('z1'),
  promptTokens: fc.integer({min: 1, max: 15_000}),
  memoryTokens: fc.constant(15_000),
});

it('alike engines: without learned speeds, stated paces and full memory the ranking is as it was', () => {
  fc.assert(
    fc.property(REQUEST, CANDIDATES, (request, candidates) => {
      const names = rankEngines(request, candidates).map(({name}) => name);
      expect(names).to.deep.equal(formerRanking(request, candidates));
    }),
  );
});

it('alike engines: a process that is alone chooses the engine that it chose before', () => {
  fc.assert(
    fc.property(REQUEST, CANDIDATES, (request, candidates) => {
      const random = () => 0.999;
      const chosen = chooseEngine(request, candidates, {random});
      expect(chosen?.name).to.equal(formerRanking(request, candidates)[0]);
      expect(candidates[chosen!.index].name).to.equal(chosen?.name);
    }),
  );
});

it('alike engines: requests with other keys that nobody sees yet do not change a choice among equally loaded engines', () => {
  const load = {pendingTokens: 0, running: 5, waiting: 1, failureRate: 0};
  fc.assert(
    fc.property(REQUEST, CANDIDATES, (request, candidates) => {
      const equal = candidates
        .filter(({adapterState}) => adapterState !== 'no-model')
        .map(candidate => ({...candidate, ...load}));
      const options = {hiddenRequests: 40, hiddenShare: 0, random: () => 0.5};
      expect(chooseEngine(request, equal, options)?.name).to.equal(
        formerRanking(request, equal).at(0),
      );
    }),
  );
});
