import {expect} from 'chai';
import {preferredShare, waterLevel} from '../src/water-level.js';
import {
  chooseEngine,
  PromptCacheEstimator,
  RecentAdapters,
  rankEngines,
  type EngineCandidate,
} from '@marigoldspur/engine-choice';

const REQUEST = {
  affinityKey: 'm/a',
  zone: 'z1',
  promptTokens: 9_000,
  memoryTokens: 9_100,
};

function engine(
  name: string,
  changes: Partial<EngineCandidate> = {},
): EngineCandidate {
  return {
    name,
    zone: 'z1',
    adapterState: 'absent',
    idleSlots: 4,
    slotReleaseIntervalMs: 800,
    cachedTokens: 0,
    pendingTokens: 0,
    running: 0,
    waiting: 0,
    batchLimit: 64,
    tokenMemory: 200_000,
    memoryUsed: 0,
    promisedTokens: 0,
    failureRate: 0,
    prefillFactor: 1,
    decodeFactor: 1,
    pace: 1,
    ...changes,
  };
}

function best(candidates: EngineCandidate[]): string {
  return rankEngines(REQUEST, candidates)[0].name;
}

it('engine choice: an engine that holds the adapter ranks first', () => {
  const names = ['a', 'b', 'c', 'd', 'e'];
  for (const holder of names) {
    const engines = names.map(name =>
      engine(name, {adapterState: name === holder ? 'held' : 'absent'}),
    );
    expect(best(engines)).to.equal(holder);
  }
});

it('engine choice: all processes choose the same home for a cold adapter', () => {
  const engines = ['a', 'b', 'c', 'd'].map(name => engine(name));
  expect(best(engines)).to.equal(best([...engines].reverse()));
});

it('engine choice: a cold adapter goes to an engine with an idle slot', () => {
  const home = best(['a', 'b', 'c'].map(name => engine(name)));
  const engines = ['a', 'b', 'c'].map(name =>
    engine(name, {idleSlots: name === home ? 0 : 2}),
  );
  expect(best(engines)).to.not.equal(home);
});

it('engine choice: a busy engine that holds the adapter ranks below an idle one that has to load it', () => {
  const held = engine('held', {adapterState: 'held', pendingTokens: 60_000});
  expect(best([held, engine('free')])).to.equal('free');
});

it('engine choice: full token memory adds to the cost', () => {
  const full = engine('full', {adapterState: 'held', memoryUsed: 0.95});
  const other = engine('other', {adapterState: 'recent'});
  expect(best([full, other])).to.equal('other');
});

it('engine choice: an engine that fails often is avoided', () => {
  const failing = engine('failing', {adapterState: 'held', failureRate: 0.5});
  expect(best([failing, engine('healthy')])).to.equal('healthy');
});

it('engine choice: an engine without the base model ranks last', () => {
  const empty = engine('empty', {adapterState: 'no-model'});
  const busy = engine('busy', {running: 40});
  expect(best([empty, busy])).to.equal('busy');
});

it('prompt cache: a part counts only after all parts before it', () => {
  const promptCache = new PromptCacheEstimator();
  const parts = [
    {id: 'p1', tokens: 100},
    {id: 'p2', tokens: 50},
    {id: 'own', tokens: 10},
  ];
  promptCache.recordPrompt('m/a', parts.slice(0, 2), 0);
  expect(promptCache.cachedTokens('m/a', parts, 1)).to.equal(150);
  expect(promptCache.cachedTokens('m/a', parts.slice(1), 1)).to.equal(50);
  const other = [{id: 'x', tokens: 1}, ...parts];
  expect(promptCache.cachedTokens('m/a', other, 1)).to.equal(0);
  expect(promptCache.cachedTokens('m/b', parts, 1)).to.equal(0);
  expect(promptCache.cachedTokens('m/a', parts, 60_000)).to.equal(0);
});

it('recent adapters: the least recently held ones are evicted', () => {
  const recent = new RecentAdapters();
  recent.record([['m/a', 2]]);
  expect(recent.has('m/a')).to.equal(true);
  expect(recent.has('m/a', 2)).to.equal(true);
  expect(recent.has('m/a', 3)).to.equal(false);
  for (let index = 0; index < 100; index += 1) {
    recent.record([[`m/b${index}`, 1]]);
  }
  expect(recent.has('m/a')).to.equal(false);
});

it('engine choice: prompts waiting at an engine that holds the adapter add to its cost', () => {
  const held = engine('held', {adapterState: 'held', waiting: 8});
  const recent = engine('recent', {adapterState: 'recent'});
  expect(best([held, recent])).to.equal('recent');
});

it('engine choice: requests of this process are not counted twice', () => {
  const busy = engine('busy', {pendingTokens: 9_000, waiting: 1});
  const [{costMs}] = rankEngines(REQUEST, [busy]);
  const [{costMs: idleMs}] = rankEngines(REQUEST, [engine('busy')]);
  expect(costMs - idleMs).to.be.lessThan(9_000 / 35 + 1);
});

it('engine choice: processes with the same information do not all choose one engine', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
  const counts = new Map(names.map(name => [name, 0]));
  for (let call = 0; call < 400; call += 1) {
    const engines = names.map(name =>
      engine(name, {waiting: Math.floor(counts.get(name)! / 4)}),
    );
    const request = {...REQUEST, affinityKey: `m/a${call % 40}`};
    const {name} = rankEngines(request, engines)[0];
    counts.set(name, counts.get(name)! + 1);
  }
  const most = Math.max(...counts.values());
  expect(most).to.be.lessThan(2 * (400 / names.length));
});

it('engine choice: of two engines without an idle slot, the one with fewer waiting adapters ranks first', () => {
  const names = ['a', 'b', 'c'];
  const home = best(names.map(name => engine(name, {idleSlots: 0})));
  const engines = names.map(name =>
    engine(name, {idleSlots: name === home ? -2 : 0}),
  );
  expect(best(engines)).to.not.equal(home);
});

it('engine choice: however many requests are hidden, no engine without room is filled by them', () => {
  const engines = [engine('free'), engine('full', {memoryUsed: 1})];
  for (const hiddenShare of [0, 1]) {
    for (const random of [() => 0, () => 0.999]) {
      const options = {hiddenRequests: 1e12, hiddenShare, random};
      expect(chooseEngine(REQUEST, engines, options)?.name).to.equal('free');
    }
  }
});

it('engine choice: an engine whose cost is not a number does not attract requests', () => {
  const engines = [engine('odd', {failureRate: NaN}), engine('sound')];
  for (const hiddenRequests of [0, 40]) {
    for (const hiddenShare of [0, 1]) {
      const options = {hiddenRequests, hiddenShare, random: () => 0};
      expect(chooseEngine(REQUEST, engines, options)?.name).to.equal('sound');
      const odd = engines.slice(0, 1);
      expect(chooseEngine(REQUEST, odd, options)).to.equal(undefined);
    }
  }
});

it('engine choice: rounding noise does not count as a difference between equally loaded engines', () => {
  for (let engines = 2; engines < 12; engines += 1) {
    for (let costMs = 0.01; costMs < 40; costMs += 0.1) {
      const costsMs = new Float64Array(engines).fill(costMs);
      const levelMs = waterLevel(costsMs, 333.3);
      expect(preferredShare(costsMs, levelMs)).to.equal(0);
    }
  }
  expect(preferredShare(Float64Array.of(0, 100), 200)).to.be.above(0);
});
