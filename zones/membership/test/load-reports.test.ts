import {expect} from 'chai';
import {
  LoadReportStore,
  LoadReportCache,
  resolveRegion,
} from '@marigoldspur/membership';
import type {Member} from '@marigoldspur/messages';
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';

const BOOT = 'boot';

function agent(id: string, change: Partial<Member> = {}): Member {
  return {
    id,
    role: 'agent',
    zone: 'lima-a',
    boot: BOOT,
    url: `http://127.0.0.1:1/${id}`,
    revision: 0,
    leaving: false,
    target: createTargetReport({name: id, load: undefined}),
    ...change,
  };
}

function entry(id: string, zone: string, region: string): Member {
  return {...agent(id), role: 'entry', target: undefined, zone, region};
}

function agentLoad(id: string, running: number) {
  return {id, boot: BOOT, load: createLoadReport({running})};
}

function changes(changed: Array<ReturnType<typeof agentLoad>>, removed = ['']) {
  return {changed, removed};
}

it('load report store: a follower receives the changes after its version', () => {
  const store = new LoadReportStore();
  store.put(agentLoad('a', 1));
  store.put(agentLoad('b', 1));
  const {version} = store;
  expect(store.changesAfter(version)).to.deep.equal(changes([], []));
  store.put(agentLoad('b', 2));
  store.remove('a');
  store.remove('c');
  const expected = changes([agentLoad('b', 2)], ['a']);
  expect(store.changesAfter(version)).to.deep.equal(expected);
  store.put(agentLoad('a', 3));
  expect(store.changesAfter(version).removed).to.deep.equal([]);
});

it('load report cache: the latest report of a member’s boot is used', () => {
  const cache = new LoadReportCache();
  cache.applyChanges('r1', changes([agentLoad('a', 1)]), true);
  cache.applyChanges('r2', changes([agentLoad('a', 2)]), true);
  cache.applyChanges('r1', changes([], ['a']), false);
  expect(cache.loadOf(agent('a'))?.running).to.equal(2);
  expect(cache.loadOf(agent('a', {boot: 'second'}))).to.equal(undefined);
  cache.applyChanges('r2', changes([], ['a']), false);
  expect(cache.loadOf(agent('a'))).to.equal(undefined);
});

it('load report cache: the load in the member record is used if no relay reports one', () => {
  const cache = new LoadReportCache();
  const load = createLoadReport({running: 7});
  const member = agent('a', {target: createTargetReport({load})});
  expect(cache.loadOf(member)?.running).to.equal(7);
  cache.applyChanges('r1', changes([agentLoad('a', 1)]), true);
  expect(cache.loadOf(member)?.running).to.equal(1);
});

it('load report cache: the first message of a new stream replaces all earlier reports of its relay', () => {
  const cache = new LoadReportCache();
  cache.applyChanges(
    'r1',
    changes([agentLoad('a', 1), agentLoad('b', 1)]),
    true,
  );
  cache.applyChanges('r1', changes([agentLoad('b', 2)]), true);
  expect(cache.loadOf(agent('a'))).to.equal(undefined);
  expect(cache.loadOf(agent('b'))?.running).to.equal(2);
});

it('load report cache: reports of a lost relay are kept for a limited time', () => {
  const cache = new LoadReportCache();
  cache.applyChanges('r1', changes([agentLoad('a', 1)]), true);
  cache.markSourceLost('r1', 0);
  cache.markSourceLost('r1', 4_000);
  cache.expire(5_000);
  expect(cache.loadOf(agent('a'))?.running).to.equal(1);
  cache.expire(5_001);
  expect(cache.loadOf(agent('a'))).to.equal(undefined);
});

it('load report cache: reports of a relay that reconnected are kept', () => {
  const cache = new LoadReportCache();
  cache.applyChanges('r1', changes([agentLoad('a', 1)]), true);
  cache.markSourceLost('r1', 0);
  cache.applyChanges('r1', changes([agentLoad('a', 2)]), true);
  cache.expire(60_000);
  expect(cache.loadOf(agent('a'))?.running).to.equal(2);
});

it('region: contains the relays of its zones and lists the zones of other regions as foreign', () => {
  const members = [
    entry('e1', 'lima-a', 'lima'),
    entry('e2', 'lima-b', 'lima'),
    entry('e3', 'lakes-a', 'lakes'),
    agent('a', {zone: 'lima-c'}),
  ];
  const region = resolveRegion(members, 'lima');
  expect(region.relays).to.deep.equal([members[0].url, members[1].url]);
  expect([...region.foreignZones]).to.deep.equal(['lakes-a']);
});
