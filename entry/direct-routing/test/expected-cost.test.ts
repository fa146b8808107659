import {expect} from 'chai';
import {
  createRandom,
  runFleet,
  type TestEngine,
  type TestOutcome,
  type TestRequest,
} from './test-fleet.js';

/** Latency objective of the callers, in milliseconds. */
const OBJECTIVE_MS = 822;
/** Share of the calls whose first event is to come within the objective. */
const MIN_SHARE_IN_TIME = 0.95;
const SECONDS = 15;
/** Time after which an entry has seen some ten calls at each engine, and so knows its speed, in milliseconds. */
const LEARNED_MS = 15_000;
const VIEW_AGE_MS = 250;
const LONG_PROMPT_TOKENS = 9_190;
const SHORT_PROMPT_TOKENS = 826;
const LONG_SHARE = 0.3;
const ADAPTERS = 40;

interface Traffic {
  readonly perSecond: number;
  readonly entries: number;
  readonly hasAdapters?: boolean;
  readonly seconds?: number;
}

function createRequests(traffic: Traffic, seed = 11): TestRequest[] {
  const random = createRandom(seed);
  const requests: TestRequest[] = [];
  let at = 0;
  const {seconds = SECONDS} = traffic;
  while (at < seconds * 1_000) {
    at += (-Math.log(1 - random()) * 1_000) / traffic.perSecond;
    requests.push({
      at: Math.floor(at),
      entry: Math.floor(random() * traffic.entries),
      promptTokens:
        random() < LONG_SHARE ? LONG_PROMPT_TOKENS : SHORT_PROMPT_TOKENS,
      adapter: traffic.hasAdapters
        ? `a${Math.floor(random() * ADAPTERS)}`
        : undefined,
    });
  }
  return requests;
}

function createEngines(
  count: number,
  create: (index: number) => TestEngine,
): TestEngine[] {
  return Array.from({length: count}, (_, index) => create(index));
}

function run(
  engines: readonly TestEngine[],
  traffic: Traffic,
  maxGapMs?: number,
): TestOutcome[] {
  return runFleet({
    engines,
    entries: traffic.entries,
    requests: createRequests(traffic),
    viewAgeMs: VIEW_AGE_MS,
    maxGapMs,
    random: createRandom(7),
  });
}

function shareInTime(outcomes: readonly TestOutcome[]): number {
  return shareOf(outcomes, ({firstEventMs}) => firstEventMs <= OBJECTIVE_MS);
}

function shareOf(
  outcomes: readonly TestOutcome[],
  holds: (outcome: TestOutcome) => boolean,
): number {
  return outcomes.filter(holds).length / outcomes.length;
}

/** Slows an engine 2.5 times for 600 ms in every 6 s. */
function slowedAt(index: number): (now: number) => number {
  return now => ((now + index * 733) % 6_000 < 600 ? 2.5 : 1);
}

function holdsThird(index: number): string[] {
  return Array.from({length: ADAPTERS}, (_, adapter) => adapter)
    .filter(adapter => (adapter + index) % 3 === 0)
    .map(adapter => `m/a${adapter}`);
}

it('expected cost: 42 entries with old views do not all choose the same idle engine', () => {
  const engines = createEngines(33, () => ({speed: 1}));
  const outcomes = run(engines, {perSecond: 200, entries: 42});
  expect(shareInTime(outcomes)).to.be.at.least(MIN_SHARE_IN_TIME);
  const counts = engines.map((_, index) =>
    shareOf(outcomes, ({engine}) => engine === index),
  );
  expect(Math.max(...counts)).to.be.below(2 / engines.length);
});

it('expected cost: calls are in time at engines of different speeds that are slowed at times', () => {
  const engines = createEngines(33, index => ({
    speed: [1, 1, 1.3][index % 3],
    paceAt: slowedAt(index),
  }));
  const outcomes = run(engines, {perSecond: 160, entries: 42});
  expect(shareInTime(outcomes)).to.be.at.least(MIN_SHARE_IN_TIME);
});

it('expected cost: with adapters, calls are in time at engines of different speeds that are slowed at times', () => {
  const engines = createEngines(33, index => ({
    speed: [1, 1, 1.3][index % 3],
    paceAt: slowedAt(index),
    adapters: holdsThird(index),
  }));
  const traffic = {perSecond: 190, entries: 42, hasAdapters: true};
  expect(shareInTime(run(engines, traffic))).to.be.at.least(MIN_SHARE_IN_TIME);
});

it('expected cost: engines that state a wrong pace neither attract the load nor lose all of it', () => {
  const wrong = [0, 0.1, 0.3, 10, 100, undefined];
  const engines = createEngines(33, index => ({
    speed: 1,
    statedPaceAt: () => (index < wrong.length ? wrong[index] : 1),
  }));
  const outcomes = run(engines, {perSecond: 200, entries: 42});
  expect(shareInTime(outcomes)).to.be.at.least(MIN_SHARE_IN_TIME);
  for (const liar of wrong.keys()) {
    const share = shareOf(outcomes, ({engine}) => engine === liar);
    expect(share).to.be.within(0.4 / engines.length, 2 / engines.length);
  }
});

it('expected cost: an engine whose pauses are too long for the route is used less', () => {
  const engines = createEngines(4, index => ({speed: index === 0 ? 1.6 : 1}));
  const traffic = {perSecond: 12, entries: 1, seconds: 45};
  const outcomes = run(engines, traffic, 50);
  const learned = outcomes.filter(({request}) => request.at > LEARNED_MS);
  const late = shareOf(learned, ({longestPauseMs}) => longestPauseMs > 50);
  expect(late).to.be.below(0.05);
});
