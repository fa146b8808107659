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

function ids(follower: MemberFollower): string[] {
  return follower.members().map(each => each.id);
}

it('member follower: members are kept until the table of a new leader is complete', () => {
  const follower = createFollower();
  follower.applyDelta(delta('t1', {changed: [member('a'), member('b')]}));
  follower.applyDelta(delta('t2', {changed: [member('b')], complete: false}));
  expect(ids(follower)).to.have.members(['a', 'b']);
  follower.applyDelta(delta('t2', {whole: false, version: 2}));
  expect(ids(follower)).to.deep.equal(['b']);
});

it('member follower: a removal applies even before the table is complete', () => {
  const follower = createFollower();
  follower.applyDelta(delta('t1', {changed: [member('a'), member('b')]}));
  follower.applyDelta(delta('t2', {changed: [], complete: false}));
  follower.applyDelta(
    delta('t2', {whole: false, removed: ['a'], complete: false}),
  );
  expect(ids(follower)).to.deep.equal(['b']);
});
