import {expect} from 'chai';
import {
  LoadReportStore,
  LoadReportCache,
  resolveRegion,
} from '@marigoldspur/membership';
import type {Member} from '@marigoldspur/messages';
import {loadReport, targetReport} from '@marigoldspur/test-members';

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
    target: targetReport({name: id, load: undefined}),
    ...change,
  };
}

function entry(id: string, zone: string, region: string): Member {
  return {...agent(id), role: 'entry', target: undefined, zone, region};
}

function told(id: string, running: number) {
  return {id, boot: BOOT, load: loadReport({running})};
}

function changes(changed: Array<ReturnType<typeof told>>, removed = ['']) {
  return {changed, removed};
}

it('load board: a follower gets what changed after its version', () => {
  const board = new LoadReportStore();
  board.put(told('a', 1));
  board.put(told('b', 1));
  const {version} = board;
  expect(board.changesAfter(version)).to.deep.equal(changes([], []));
  board.put(told('b', 2));
  board.remove('a');
  board.remove('c');
  const expected = changes([told('b', 2)], ['a']);
  expect(board.changesAfter(version)).to.deep.equal(expected);
  board.put(told('a', 3));
  expect(board.changesAfter(version).removed).to.deep.equal([]);
});

it('load view: the latest report of a member’s boot counts', () => {
  const view = new LoadReportCache();
  view.applyChanges('r1', changes([told('a', 1)]), true);
  view.applyChanges('r2', changes([told('a', 2)]), true);
  view.applyChanges('r1', changes([], ['a']), false);
  expect(view.loadOf(agent('a'))?.running).to.equal(2);
  expect(view.loadOf(agent('a', {boot: 'second'}))).to.equal(undefined);
  view.applyChanges('r2', changes([], ['a']), false);
  expect(view.loadOf(agent('a'))).to.equal(undefined);
});

it('load view: what control holds counts where no relay reports', () => {
  const view = new LoadReportCache();
  const load = loadReport({running: 7});
  const member = agent('a', {target: targetReport({load})});
  expect(view.loadOf(member)?.running).to.equal(7);
  view.applyChanges('r1', changes([told('a', 1)]), true);
  expect(view.loadOf(member)?.running).to.equal(1);
});

it('load view: a stream that begins anew replaces what it told before', () => {
  const view = new LoadReportCache();
  view.applyChanges('r1', changes([told('a', 1), told('b', 1)]), true);
  view.applyChanges('r1', changes([told('b', 2)]), true);
  expect(view.loadOf(agent('a'))).to.equal(undefined);
  expect(view.loadOf(agent('b'))?.running).to.equal(2);
});

it('load view: reports of a lost relay are held for a while', () => {
  const view = new LoadReportCache();
  view.applyChanges('r1', changes([told('a', 1)]), true);
  view.markSourceLost('r1', 0);
  view.markSourceLost('r1', 4_000);
  view.expire(5_000);
  expect(view.loadOf(agent('a'))?.running).to.equal(1);
  view.expire(5_001);
  expect(view.loadOf(agent('a'))).to.equal(undefined);
});

it('load view: reports of a relay that came back are kept', () => {
  const view = new LoadReportCache();
  view.applyChanges('r1', changes([told('a', 1)]), true);
  view.markSourceLost('r1', 0);
  view.applyChanges('r1', changes([told('a', 2)]), true);
  view.expire(60_000);
  expect(view.loadOf(agent('a'))?.running).to.equal(2);
});

it('region: its relays are followed, and zones of others are foreign', () => {
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
