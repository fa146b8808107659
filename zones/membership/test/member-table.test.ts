import {expect} from 'chai';
import type {Member} from '@marigoldspur/messages';
import {MemberTable} from '@marigoldspur/membership';
import {targetReport} from '@marigoldspur/test-members';

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

function table(): MemberTable {
  return new MemberTable({table: 't', leaseMs: LEASE_MS});
}

it('member table: a lease expires without a heartbeat', () => {
  const members = table();
  members.announce(member('a'), 0);
  members.announce(member('b'), 500);
  expect(members.expire(1_001).map(each => each.member.id)).to.deep.equal([
    'a',
  ]);
  expect(members.members().map(each => each.id)).to.deep.equal(['b']);
});

it('member table: a delta contains only changed members', () => {
  const members = table();
  members.announce(member('a'), 0);
  members.announce(member('b'), 0);
  const {version} = members.delta('t', 0);
  members.announce(member('b', 1), 10);
  const delta = members.delta('t', version);
  expect(delta.whole).to.equal(false);
  expect(delta.changed.map(each => each.id)).to.deep.equal(['b']);
});

it('member table: a delta lists removed members', () => {
  const members = table();
  members.announce(member('a'), 0);
  const {version} = members.delta('t', 0);
  members.expire(LEASE_MS + 1);
  expect(members.delta('t', version).removed).to.deep.equal(['a']);
});

it('member table: a delta from another table contains all members', () => {
  const members = table();
  members.announce(member('a'), 0);
  const delta = members.delta('other', 1);
  expect(delta.whole).to.equal(true);
  expect(delta.changed).to.have.length(1);
});

function agent(id: string, fence: number, leaving = false): Member {
  return {
    ...member(id),
    leaving,
    target: targetReport({fence}),
  };
}

it('member table: of two agents of a target, the one with the newer number wins and the other is fenced', () => {
  const members = table();
  members.announce(agent('a', 1), 0);
  const taken = members.announce(agent('b', 2), 10);
  expect(taken.changes.map(change => change.kind)).to.deep.equal([
    'fenced',
    'joined',
  ]);
  expect(members.announce(agent('a', 1), 20).fenced).to.equal(true);
  expect(members.members().map(each => each.id)).to.deep.equal(['b']);
});

it('member table: an agent with a number older than the granted one is fenced in an empty table', () => {
  const members = table();
  expect(members.announce(agent('a', 1), 0, 2).fenced).to.equal(true);
  expect(members.members()).to.deep.equal([]);
  expect(members.announce(agent('b', 2), 0, 2).fenced).to.equal(false);
});

it('member table: an older agent with the same ID is fenced and the newer one stays', () => {
  const members = table();
  members.announce({...agent('a', 2), boot: 'second'}, 0);
  const late = members.announce(agent('a', 1), 10);
  expect(late).to.deep.equal({fenced: true, changes: []});
  expect(members.member('a')?.boot).to.equal('second');
});

it('member table: a member that returns with another boot joins again', () => {
  const members = table();
  members.announce(member('a'), 0);
  const again = members.announce({...member('a'), boot: 'second'}, 10);
  expect(again.changes.map(change => change.kind)).to.deep.equal(['joined']);
});

it('member table: a leaving target is part of the next delta', () => {
  const members = table();
  members.announce(agent('a', 1), 0);
  const {version} = members.delta('t', 0);
  const left = members.announce(agent('a', 1, true), 10);
  expect(left.changes.map(change => change.kind)).to.deep.equal(['leaving']);
  expect(members.delta('t', version).changed[0].leaving).to.equal(true);
});

it('member table: a new leader’s table is complete only after a lease', () => {
  const members = new MemberTable({
    table: 't',
    leaseMs: LEASE_MS,
    completeAt: LEASE_MS,
  });
  members.announce(member('a'), 10);
  members.expire(LEASE_MS - 1);
  const early = members.delta('', 0);
  expect(early.complete).to.equal(false);
  members.announce(member('a'), 900);
  members.expire(LEASE_MS);
  const later = members.delta('t', early.version);
  expect(later.complete).to.equal(true);
  expect(later.version).to.be.greaterThan(early.version);
});
