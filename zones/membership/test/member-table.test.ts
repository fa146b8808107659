import {expect} from 'chai';
import type {Member} from '@marigoldspur/messages';
import {MemberTable} from '@marigoldspur/membership';

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

it('members: a lease ends without a heartbeat', () => {
  const members = table();
  members.announce(member('a'), 0);
  members.announce(member('b'), 500);
  expect(members.expire(1_001).map(each => each.member.id)).to.deep.equal([
    'a',
  ]);
  expect(members.members().map(each => each.id)).to.deep.equal(['b']);
});

it('members: a delta holds only what changed', () => {
  const members = table();
  members.announce(member('a'), 0);
  members.announce(member('b'), 0);
  const {version} = members.delta('t', 0);
  members.announce(member('b', 1), 10);
  const delta = members.delta('t', version);
  expect(delta.whole).to.equal(false);
  expect(delta.changed.map(each => each.id)).to.deep.equal(['b']);
});

it('members: a removal is part of the delta', () => {
  const members = table();
  members.announce(member('a'), 0);
  const {version} = members.delta('t', 0);
  members.expire(LEASE_MS + 1);
  expect(members.delta('t', version).removed).to.deep.equal(['a']);
});

it('members: another table gives the whole', () => {
  const members = table();
  members.announce(member('a'), 0);
  const delta = members.delta('other', 1);
  expect(delta.whole).to.equal(true);
  expect(delta.changed).to.have.length(1);
});
