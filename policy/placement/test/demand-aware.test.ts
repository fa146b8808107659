import {expect} from 'chai';
import {
  DemandAwarePlacement,
  PlacementPolicyCache,
  rendezvousOrder,
  type PlacementCandidate,
} from '@marigoldspur/placement';

function target(
  name: string,
  part: Partial<PlacementCandidate> = {},
): PlacementCandidate {
  return {
    name,
    zone: 'lima-a',
    resident: new Set(),
    slots: 2,
    load: 0,
    batchLimit: 16,
    ...part,
  };
}

const wanted = {model: 'wanted@v1', zone: 'lima-a'};

function use(placement: DemandAwarePlacement, model: string, times: number) {
  for (let count = 0; count < times; count += 1) {
    placement.choose({model, zone: 'lima-a'}, [target('elsewhere')], 0);
  }
}

it('placement: a target that holds the adapter is preferred to a less loaded one', () => {
  const holder = target('holder', {resident: new Set(['wanted@v1']), load: 9});
  const placement = new DemandAwarePlacement();
  const chosen = placement.choose(wanted, [target('empty'), holder], 0);
  expect(chosen?.name).to.equal('holder');
});

it('placement: a target that is loading the adapter is preferred to a less loaded one', () => {
  const loading = target('loading', {loading: new Set(['wanted@v1']), load: 9});
  const placement = new DemandAwarePlacement();
  const chosen = placement.choose(wanted, [target('empty'), loading], 0);
  expect(chosen?.name).to.equal('loading');
});

it('placement: a second request goes to the same target before a report shows the first', () => {
  const placement = new DemandAwarePlacement({stallWeight: 1});
  use(placement, 'hot@v1', 9);
  const first = placement.choose(wanted, [target('a'), target('b')], 0)!;
  const reports = [target('a', {slots: 1}), target('b', {slots: 1})].map(
    report =>
      report.name === first.name
        ? {...report, resident: new Set(['hot@v1'])}
        : report,
  );
  expect(placement.choose(wanted, reports, 100)?.name).to.equal(first.name);
});

it('placement: another target is chosen if the holder is full', () => {
  const full = target('full', {resident: new Set(['wanted@v1']), load: 16});
  const placement = new DemandAwarePlacement();
  const chosen = placement.choose(wanted, [full, target('empty')], 0);
  expect(chosen?.name).to.equal('empty');
});

it('placement: a cold adapter goes where the least used adapter is evicted', () => {
  const placement = new DemandAwarePlacement({stallWeight: 1});
  use(placement, 'hot@v1', 9);
  use(placement, 'warm@v1', 3);
  const candidates = [
    target('hot', {resident: new Set(['hot@v1']), slots: 1}),
    target('warm', {resident: new Set(['warm@v1']), slots: 1}),
  ];
  expect(placement.choose(wanted, candidates, 0)?.name).to.equal('warm');
});

it('placement: an adapter in use does not count as evictable', () => {
  const placement = new DemandAwarePlacement({stallWeight: 1});
  use(placement, 'hot@v1', 9);
  use(placement, 'warm@v1', 3);
  const candidates = [
    target('in-use', {
      resident: new Set(['hot@v1', 'idle@v1']),
      pinned: new Set(['idle@v1']),
    }),
    target('warm', {resident: new Set(['warm@v1', 'hot@v1'])}),
  ];
  expect(placement.choose(wanted, candidates, 0)?.name).to.equal('warm');
});

it('placement: the stall weight decides between a free slot and a fuller batch', () => {
  const candidates = [
    target('fuller', {
      resident: new Set(['warm@v1', 'in-use@v1']),
      pinned: new Set(['in-use@v1']),
      load: 8,
    }),
    target('free'),
  ];
  const chosen = (stallWeight: number) => {
    const placement = new DemandAwarePlacement({stallWeight});
    use(placement, 'warm@v1', 3);
    return placement.choose(wanted, candidates, 0)?.name;
  };
  expect(chosen(1)).to.equal('free');
  expect(chosen(0)).to.equal('fuller');
});

it('placement: batch fill counts more the more slots are in use', () => {
  const chosen = (inUse: number) => {
    const used = Array.from({length: inUse}, (_, index) => `used-${index}@v1`);
    const pinned = new Set(used);
    const candidates = [
      target('fuller', {resident: new Set(['warm@v1']), slots: 1, load: 8}),
      target('free'),
      target('other', {slots: 10, resident: pinned, pinned, load: 16}),
    ];
    const placement = new DemandAwarePlacement();
    use(placement, 'warm@v1', 3);
    return placement.choose(wanted, candidates, 0)?.name;
  };
  expect(chosen(1)).to.equal('free');
  expect(chosen(9)).to.equal('fuller');
});

it('placement: a changed setting creates a new policy', () => {
  const cache = new PlacementPolicyCache(() => 0);
  const settings = {
    placement: 'demand-aware',
    prefixAffinity: 0,
    stallWeight: 0.5,
  } as const;
  const first = cache.policyFor('desk', settings);
  expect(cache.policyFor('desk', {...settings})).to.equal(first);
  const withOtherWeight = cache.policyFor('desk', {
    ...settings,
    stallWeight: 1,
  });
  expect(withOtherWeight).to.not.equal(first);
  const withPrefixAffinity = cache.policyFor('desk', {
    ...settings,
    stallWeight: 1,
    prefixAffinity: 1,
  });
  expect(withPrefixAffinity).to.not.equal(withOtherWeight);
});

it('rendezvous: removing a target moves only its own adapters', () => {
  const all = ['a', 'b', 'c', 'd'].map(name => ({name}));
  const left = all.slice(0, 3);
  const models = Array.from({length: 200}, (_, index) => `model-${index}`);
  const moved = models.filter(model => {
    const home = rendezvousOrder(model, all)[0].name;
    return home !== 'd' && rendezvousOrder(model, left)[0].name !== home;
  });
  expect(moved).to.deep.equal([]);
  const homes = new Set(
    models.map(model => rendezvousOrder(model, all)[0].name),
  );
  expect(homes.size).to.equal(4);
});

it('placement: entries that saw slightly different uses choose the same home', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];
  const targets = names.map(name =>
    target(name, {slots: 1, resident: new Set([`held-${name}@v1`])}),
  );
  const homes = names.map(earlier => {
    const entry = new DemandAwarePlacement({stallWeight: 1});
    for (const name of names) {
      const usedAt = name === earlier ? 0 : 1_000;
      const request = {model: `held-${name}@v1`, zone: 'lima-a'};
      entry.choose(request, [target('elsewhere')], usedAt);
    }
    return entry.choose(wanted, targets, 1_000)?.name;
  });
  const [first] = rendezvousOrder(wanted.model, targets);
  expect(new Set(homes)).to.deep.equal(new Set([first.name]));
});
