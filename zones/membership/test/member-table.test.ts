import {expect} from 'chai';
import type {Member} from '@marigoldspur/messages';
import {MemberTable} from '@marigoldspur/membership';
import {createTargetReport} from '@marigoldspur/report-fixtures';

const LEASE_MS = 1_000;

function member(id: string, revision = 0): Member {
  return {
    id,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision,
    leaving: false,
  };
}

function createTable(): MemberTable {
  return new MemberTable({table: 't', leaseMs: LEASE_MS});
}

it('member table: a lease expires without a heartbeat', () => {
  const table = createTable();
  table.announce(member('a'), 0);
  table.announce(member('b'), 500);
  expect(table.expire(1_001).map(each => each.member.id)).to.deep.equal(['a']);
  expect(table.members().map(each => each.id)).to.deep.equal(['b']);
});

it('member table: a delta contains only changed members', () => {
  const table = createTable();
  table.announce(member('a'), 0);
  table.announce(member('b'), 0);
  const {version} = table.delta('t', 0);
  table.announce(member('b', 1), 10);
  const delta = table.delta('t', version);
  expect(delta.whole).to.equal(false);
  expect(delta.changed.map(each => each.id)).to.deep.equal(['b']);
});

it('member table: a delta lists removed members', () => {
  const table = createTable();
  table.announce(member('a'), 0);
  const {version} = table.delta('t', 0);
  table.expire(LEASE_MS + 1);
  expect(table.delta('t', version).removed).to.deep.equal(['a']);
});

it('member table: a delta from another table contains all members', () => {
  const table = createTable();
  table.announce(member('a'), 0);
  const delta = table.delta('other', 1);
  expect(delta.whole).to.equal(true);
  expect(delta.changed).to.have.length(1);
});

function agent(id: string, fence: number, leaving = false): Member {
  return {
    ...member(id),
    leaving,
    target: createTargetReport({fence}),
  };
}

it('member table: of two agents of a target, the one with the newer number wins and the other is fenced', () => {
  const table = createTable();
  table.announce(agent('a', 1), 0);
  const taken = table.announce(agent('b', 2), 10);
  expect(taken.changes.map(change => change.kind)).to.deep.equal([
    'fenced',
    'joined',
  ]);
  expect(table.announce(agent('a', 1), 20).isFenced).to.equal(true);
  expect(table.members().map(each => each.id)).to.deep.equal(['b']);
});

it('member table: an agent with a number older than the granted one is fenced in an empty table', () => {
  const table = createTable();
  expect(table.announce(agent('a', 1), 0, 2).isFenced).to.equal(true);
  expect(table.members()).to.deep.equal([]);
  expect(table.announce(agent('b', 2), 0, 2).isFenced).to.equal(false);
});

it('member table: an older agent with the same ID is fenced and the newer one stays', () => {
  const table = createTable();
  table.announce({...agent('a', 2), boot: 'second'}, 0);
  const late = table.announce(agent('a', 1), 10);
  expect(late).to.deep.equal({isFenced: true, changes: []});
  expect(table.member('a')?.boot).to.equal('second');
});

it('member table: a member that returns with another boot joins again', () => {
  const table = createTable();
  table.announce(member('a'), 0);
  const restarted = table.announce({...member('a'), boot: 'second'}, 10);
  expect(restarted.changes.map(change => change.kind)).to.deep.equal([
    'joined',
  ]);
});

it('member table: a leaving target is part of the next delta', () => {
  const table = createTable();
  table.announce(agent('a', 1), 0);
  const {version} = table.delta('t', 0);
  const left = table.announce(agent('a', 1, true), 10);
  expect(left.changes.map(change => change.kind)).to.deep.equal(['leaving']);
  expect(table.delta('t', version).changed[0].leaving).to.equal(true);
});

it('member table: a new leader’s table is complete only after a lease', () => {
  const table = new MemberTable({
    table: 't',
    leaseMs: LEASE_MS,
    completeAt: LEASE_MS,
  });
  table.announce(member('a'), 10);
  table.expire(LEASE_MS - 1);
  const early = table.delta('', 0);
  expect(early.complete).to.equal(false);
  table.announce(member('a'), 900);
  table.expire(LEASE_MS);
  const later = table.delta('t', early.version);
  expect(later.complete).to.equal(true);
  expect(later.version).to.be.greaterThan(early.version);
});
