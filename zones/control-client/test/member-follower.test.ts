import {expect} from 'chai';
import {MemberFollower, type ControlClient} from '@marigoldspur/control-client';
import type {Member, MembersDelta} from '@marigoldspur/messages';

function member(id: string): Member {
  return {
    id,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
  };
}

function delta(table: string, change: Partial<MembersDelta>): MembersDelta {
  return {
    table,
    version: 1,
    whole: true,
    changed: [],
    removed: [],
    complete: true,
    ...change,
  };
}

function createFollower(): MemberFollower {
  return new MemberFollower({
    urls: ['http://127.0.0.1:1'],
  } as unknown as ControlClient);
}

function ids(members: MemberFollower): string[] {
  return members.members().map(each => each.id);
}

it('member follower: members are kept until the table of a new leader is complete', () => {
  const members = createFollower();
  members.applyDelta(delta('t1', {changed: [member('a'), member('b')]}));
  members.applyDelta(delta('t2', {changed: [member('b')], complete: false}));
  expect(ids(members)).to.have.members(['a', 'b']);
  members.applyDelta(delta('t2', {whole: false, version: 2}));
  expect(ids(members)).to.deep.equal(['b']);
});

it('member follower: a removal applies even before the table is complete', () => {
  const members = createFollower();
  members.applyDelta(delta('t1', {changed: [member('a'), member('b')]}));
  members.applyDelta(delta('t2', {changed: [], complete: false}));
  members.applyDelta(
    delta('t2', {whole: false, removed: ['a'], complete: false}),
  );
  expect(ids(members)).to.deep.equal(['b']);
});
