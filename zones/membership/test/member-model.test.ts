import {expect} from 'chai';
import fc from 'fast-check';
import type {Member} from '@marigoldspur/messages';
import {MemberTable} from '@marigoldspur/membership';
import {createTargetReport} from '@marigoldspur/report-fixtures';

const RUNS = {seed: 4, numRuns: 300};
const LEASE_MS = 1_000;

const STEP = fc.record({
  kind: fc.constantFrom('announce', 'expire', 'follow'),
  agent: fc.constantFrom('a', 'b', 'c', 'd'),
  target: fc.constantFrom('t1', 't2'),
  fence: fc.integer({min: 1, max: 4}),
  leaving: fc.boolean(),
  pauseMs: fc.integer({min: 0, max: 700}),
});

it('member table model: a follower of deltas has the same members as the table, with one agent per target', () => {
  fc.assert(
    fc.property(fc.array(STEP, {maxLength: 80, size: 'max'}), steps => {
      const table = new MemberTable({table: 't', leaseMs: LEASE_MS});
      const copy = new Map<string, Member>();
      let version = 0;
      let now = 0;
      for (const step of steps) {
        now += step.pauseMs;
        if (step.kind === 'announce') {
          const {isFenced} = table.announce(memberOf(step), now);
          expect(table.member(step.agent) === undefined).to.equal(isFenced);
        } else if (step.kind === 'expire') {
          table.expire(now);
        } else {
          version = follow(table, copy, version);
        }
        const targets = table.members().map(each => each.target?.name);
        expect(new Set(targets).size).to.equal(targets.length);
      }
      follow(table, copy, version);
      const held = [...copy.values()].sort(byId);
      expect(held).to.deep.equal(table.members().sort(byId));
    }),
    RUNS,
  );
});

function follow(
  table: MemberTable,
  copy: Map<string, Member>,
  version: number,
): number {
  const delta = table.delta('t', version);
  if (delta.whole) {
    copy.clear();
  }
  delta.changed.forEach(each => copy.set(each.id, each));
  delta.removed.forEach(id => copy.delete(id));
  return delta.version;
}

function byId(a: Member, b: Member): number {
  return a.id < b.id ? -1 : 1;
}

function memberOf(step: {
  agent: string;
  target: string;
  fence: number;
  leaving: boolean;
}): Member {
  return {
    id: step.agent,
    role: 'agent',
    zone: 'lima-a',
    boot: 'boot',
    url: 'http://127.0.0.1:1',
    revision: 0,
    leaving: step.leaving,
    target: createTargetReport({name: step.target, fence: step.fence}),
  };
}
