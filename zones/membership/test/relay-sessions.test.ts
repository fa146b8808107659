import {expect} from 'chai';
import type {HeartbeatBatch, Member, RelayStamp} from '@marigoldspur/messages';
import {
  MemberTable,
  RelaySessions,
  selectRelays,
} from '@marigoldspur/membership';
import {createTargetReport} from '@marigoldspur/report-fixtures';

const LEASE_MS = 1_000;

function agent(id: string, fence = 1): Member {
  return {
    id,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: false,
    target: createTargetReport({name: id, fence}),
  };
}

function createLeader() {
  const table = new MemberTable({table: 't', leaseMs: LEASE_MS});
  const fences = new Map<string, number>();
  const sessions = new RelaySessions({
    table,
    leaseMs: LEASE_MS,
    newestFenceOf: target => fences.get(target),
  });
  const applyBatch = (change: Partial<HeartbeatBatch>, now: number) =>
    sessions.applyBatch({...EMPTY, ...change}, now).answer;
  return {table, fences, applyBatch};
}

const EMPTY: HeartbeatBatch = {
  relay: 'entry-0',
  boot: 'boot',
  zone: 'lima-a',
  heardMs: 0,
  announced: [],
  silent: [],
};

/** Creates a leader whose relay renews some agents from time 0 on. */
function withRelayedAgents(...ids: string[]) {
  const parts = createLeader();
  const {stamp: first} = parts.applyBatch({}, 0);
  const announced = ids.map(id => agent(id));
  const {stamp} = parts.applyBatch({stamp: first, announced}, 0);
  return {...parts, stamp};
}

function ids(table: MemberTable): string[] {
  return table.members().map(member => member.id);
}

it('relay sessions: a batch renews the members of earlier batches', () => {
  const {table, applyBatch, stamp} = withRelayedAgents('a', 'b');
  expect(applyBatch({stamp, heardMs: 500}, 600).taken).to.equal(true);
  table.expire(LEASE_MS + 500);
  expect(ids(table)).to.deep.equal(['a', 'b']);
});

it('relay sessions: a lease starts when the relay received the heartbeat, not when the batch arrives', () => {
  const {table, applyBatch, stamp} = withRelayedAgents('a');
  applyBatch({stamp, heardMs: 100}, 900);
  table.expire(LEASE_MS + 101);
  expect(ids(table)).to.deep.equal([]);
});

it('relay sessions: a batch that was in transit for longer than a lease renews no member', () => {
  const {table, applyBatch, stamp} = withRelayedAgents('a');
  const answer = applyBatch(
    {stamp, heardMs: 100, announced: [agent('b')]},
    5_000,
  );
  expect(answer).to.deep.include({taken: true, missing: ['a', 'b']});
  table.expire(5_000);
  expect(ids(table)).to.deep.equal([]);
});

it('relay sessions: a member reported silent is not renewed', () => {
  const {table, applyBatch, stamp} = withRelayedAgents('a', 'b');
  applyBatch({stamp, heardMs: 500, silent: ['a']}, 600);
  table.expire(LEASE_MS + 1);
  expect(ids(table)).to.deep.equal(['b']);
});

it('relay sessions: only the latest stamp, for this table and this boot, is accepted', () => {
  const {applyBatch, stamp} = withRelayedAgents('a');
  const bad: Array<{stamp?: RelayStamp; boot?: string}> = [
    {stamp: undefined},
    {stamp: {...stamp, at: stamp.at - 1}},
    {stamp: {...stamp, table: 'other'}},
    {stamp, boot: 'second'},
  ];
  for (const change of bad) {
    const parts = withRelayedAgents('a');
    expect(parts.applyBatch(change, 10).taken).to.equal(false);
    const expired = parts.table.expire(LEASE_MS + 1);
    expect(expired).to.have.length(1);
  }
  expect(applyBatch({stamp}, 10).taken).to.equal(true);
  expect(applyBatch({stamp}, 20).taken).to.equal(false);
});

it('relay sessions: an agent is fenced by the first batch after a newer number is granted', () => {
  const {table, fences, applyBatch, stamp} = withRelayedAgents('a', 'b');
  fences.set('a', 2);
  const fenced = [{id: 'a', boot: 'boot'}];
  expect(applyBatch({stamp}, 100).fenced).to.deep.equal(fenced);
  expect(ids(table)).to.deep.equal(['b']);
});

it('relay sessions: a member that now announces itself directly is not renewed by its earlier relay', () => {
  const {table, applyBatch, stamp} = withRelayedAgents('a');
  table.announce(agent('a'), 10);
  applyBatch({stamp, heardMs: 900}, 950);
  table.expire(LEASE_MS + 11);
  expect(ids(table)).to.deep.equal([]);
});

it('relay sessions: a late announcement is ignored', () => {
  const {table} = createLeader();
  table.announce({...agent('a'), mark: 2, leaving: true}, 0);
  const late = table.announce({...agent('a'), mark: 1}, 500);
  expect(late).to.deep.equal({isFenced: false, changes: []});
  expect(table.member('a')?.leaving).to.equal(true);
  expect(table.expire(LEASE_MS + 1)).to.have.length(1);
});

it('relay sessions: the first non-leaving entries of a zone relay its heartbeats', () => {
  const {table} = createLeader();
  const entry = (id: string, change: Partial<Member> = {}): Member => ({
    ...agent(id),
    role: 'entry',
    target: undefined,
    ...change,
  });
  table.announce(entry('e3'), 0);
  table.announce(entry('e1', {leaving: true}), 0);
  table.announce(entry('e2'), 0);
  table.announce(entry('e0', {zone: 'lima-b'}), 0);
  table.announce(entry('e4'), 0);
  table.announce(agent('a'), 0);
  const relays = selectRelays(table.members(), 'lima-a').map(
    member => member.id,
  );
  expect(relays).to.deep.equal(['e2', 'e3']);
});
