import {expect} from 'chai';
import {
  createEvictionPolicy,
  RetiredFirstEviction,
  type EvictionPolicyName,
} from '@marigoldspur/eviction';

const HOT = ['hot-0', 'hot-1', 'hot-2', 'hot-3'];
const SLOTS = 5;
const ONE_OFFS = 50;

/** Adapters in the slots after many adapters have been used once each. */
function slotsAfterOneOffUses(name: EvictionPolicyName): string[] {
  const eviction = createEvictionPolicy(name);
  const lastUsed = new Map<string, number>();
  let now = 0;
  const use = (model: string) => {
    now += 100;
    if (!lastUsed.has(model) && lastUsed.size === SLOTS) {
      const slots = [...lastUsed].map(([held, at]) => ({
        model: held,
        lastUsed: at,
      }));
      lastUsed.delete(eviction.chooseVictim(slots, now)!);
    }
    lastUsed.set(model, now);
    eviction.recordUse(model, now);
  };
  for (let round = 0; round < 5; round += 1) {
    HOT.forEach(use);
  }
  for (let index = 0; index < ONE_OFFS; index += 1) {
    use(`one-off-${index}`);
  }
  return [...lastUsed.keys()];
}

it('eviction: many one-off adapters do not evict the hot set', () => {
  for (const name of ['decayed-frequency', 'expected-rate'] as const) {
    expect(slotsAfterOneOffUses(name), name).to.include.members(HOT);
  }
});

it('eviction: the same load evicts the hot set under LRU', () => {
  expect(slotsAfterOneOffUses('lru')).to.not.include.any.members(HOT);
});

it('eviction: there is no victim without candidates', () => {
  expect(
    createEvictionPolicy('decayed-frequency').chooseVictim([], 0),
  ).to.equal(undefined);
  expect(createEvictionPolicy('expected-rate').chooseVictim([], 0)).to.equal(
    undefined,
  );
  expect(createEvictionPolicy('lru').chooseVictim([], 0)).to.equal(undefined);
});

/** Seconds until a hot adapter that is no longer used becomes the victim. */
function secondsUntilVictim(name: EvictionPolicyName): number {
  const eviction = createEvictionPolicy(name);
  const usedAt = {hot: 0, usual: 0};
  const use = (model: 'hot' | 'usual', now: number) => {
    eviction.recordUse(model, now);
    usedAt[model] = now;
  };
  const victim = (now: number) =>
    eviction.chooseVictim(
      [
        {model: 'hot', lastUsed: usedAt.hot},
        {model: 'usual', lastUsed: usedAt.usual},
      ],
      now,
    );
  for (let second = 0; second < SHIFT_SECOND; second += 1) {
    use('hot', second * 1_000);
    if (second % 20 === 0) {
      use('usual', second * 1_000);
    }
  }
  let second = SHIFT_SECOND;
  while (victim(second * 1_000) === 'usual') {
    if (second % 20 === 0) {
      use('usual', second * 1_000);
    }
    second += 1;
  }
  return second - SHIFT_SECOND;
}

const SHIFT_SECOND = 600;

it('eviction: after a shift in demand, expected rate evicts a formerly hot adapter sooner', () => {
  const frequency = secondsUntilVictim('decayed-frequency');
  expect(secondsUntilVictim('expected-rate')).to.be.lessThan(frequency / 2);
});

it('eviction: a retired adapter is evicted before a colder one', () => {
  const eviction = new RetiredFirstEviction(
    createEvictionPolicy('lru'),
    model => model === 'retired',
  );
  const cold = {model: 'cold', lastUsed: 1};
  const retired = {model: 'retired', lastUsed: 2};
  expect(eviction.chooseVictim([cold, retired], 3)).to.equal('retired');
  expect(eviction.chooseVictim([cold], 3)).to.equal('cold');
});
