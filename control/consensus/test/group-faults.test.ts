import {expect} from 'chai';
import {
  GroupModel,
  seededRandom,
  InvariantViolation,
  type Flaw,
} from './group-model.js';

const SEED = 4;

function groupOf(size: number, flaw?: Flaw, voters = size): GroupModel {
  return new GroupModel(size, seededRandom(SEED), flaw, voters);
}

/**
 * Runs a scenario with all safety mechanisms, then with one disabled. The first run must
 * not violate a safety property, and the second run must.
 */
function expectCaught(
  flaw: Flaw,
  scenario: (flaw: Flaw | undefined) => GroupModel,
): void {
  scenario(undefined);
  expect(() => scenario(flaw)).to.throw(InvariantViolation);
}

it('empty data folder: the replica does not vote for a lagging candidate', () => {
  expectCaught('an empty data folder votes under the old ID', flaw => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.exchange([a, b, c], 6);
    model.freezeAllExcept([a, b]);
    model.propose(a);
    model.exchange([a, b], 6);
    expect(model.committedCommandCount).to.equal(1);
    model.crash(a);
    model.dropMessages(() => true);
    model.replaceDisk(b);
    if (flaw === undefined) {
      expect(() => model.elect(c, [b])).to.throw('was not elected');
    } else {
      model.elect(c, [b]);
    }
    return model;
  });
});

it('commit: entries of earlier terms are not committed by counting replicas', () => {
  expectCaught(
    'entries of earlier terms are committed by counting replicas',
    flaw => {
      const model = groupOf(5, flaw);
      const [a, b, c, d, e] = model.hosts;
      model.elect(a, [b, c, d, e]);
      model.exchange(model.hosts, 6);
      model.freezeAllExcept([a, b]);
      model.propose(a);
      model.exchange([a, b], 4);
      model.crash(a);
      model.dropMessages(() => true);
      model.elect(e, [c, d]);
      model.completeWrite(e);
      model.dropMessages(() => true);
      model.crash(e);
      model.restart(a);
      model.elect(a, [b, c]);
      const {term} = a.replica!;
      for (let round = 0; round < 8; round += 1) {
        model.exchange([a, b, c]);
        model.dropMessages(
          message =>
            message.kind === 'append' &&
            message.entries.some(entry => entry.term === term),
        );
      }
      model.crash(a);
      model.dropMessages(() => true);
      model.restart(e);
      model.elect(e, [b, c, d]);
      model.exchange(model.hosts, 12);
      return model;
    },
  );
});

it('voters: only one changes at a time', () => {
  expectCaught('two voters change at once', flaw => {
    const model = groupOf(5, flaw, 3);
    const [a, b, c, d, e] = model.hosts;
    model.elect(a, [b, c]);
    for (let round = 0; round < 2; round += 1) {
      model.exchange([a, b, c], 6);
      model.takeRepairStep();
    }
    model.runRounds([a, b, c], 4);
    model.freezeAllExcept([a, d, e]);
    model.runRounds([a, d, e], 8);
    expect(model.configuration?.learners).to.have.length(2);
    for (const near of [a, d, e]) {
      for (const far of [b, c]) {
        model.setLinkCut(near, far, true);
        model.setLinkCut(far, near, true);
      }
    }
    model.dropMessages(() => true);
    model.takeRepairStep();
    model.exchange([a, d, e], 6);
    model.propose(a);
    model.exchange([a, d, e], 6);
    model.elect(b, [c]);
    model.exchange([b, c], 6);
    return model;
  });
});

it('repair: completes only once the replacement holds the entry that made it a voter', () => {
  expectCaught(
    'a repair completes before its replacement is caught up',
    flaw => {
      const model = groupOf(3, flaw);
      const [a, b, c] = model.hosts;
      model.elect(a, [b, c]);
      model.runRounds(model.hosts, 10);
      model.replaceDisk(c);
      for (let step = 0; step < 2; step += 1) {
        model.takeRepairStep();
        model.runRounds(model.hosts, 10);
      }
      expect(model.configuration?.voters).to.have.length(2);
      model.setLinkCut(a, c, true);
      model.takeRepairStep();
      model.runRounds([a, b], 3);
      model.takeRepairStep();
      expect(model.configuration?.unconfirmed).to.have.length(1);
      model.setLinkCut(a, c, false);
      model.runRounds(model.hosts, 10);
      model.takeRepairStep();
      expect(model.configuration?.unconfirmed).to.have.length(0);
      return model;
    },
  );
});

it('linearizable read: a deposed leader that resumes after a pause answers no read', () => {
  expectCaught('reads are not confirmed by a majority', flaw => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.exchange([a, b, c], 6);
    model.elect(b, [c]);
    model.exchange([b, c], 6);
    model.propose(b);
    model.exchange([b, c], 6);
    expect(model.committedCommandCount).to.equal(1);
    model.freezeAllExcept([a]);
    model.read(a);
    return model;
  });
});

it('pre-vote: a replica that was partitioned does not depose the leader', () => {
  const termsAfterCut = (flaw?: Flaw): number => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.runRounds(model.hosts, 10);
    const before = a.replica!.term;
    for (const each of [a, b]) {
      model.setLinkCut(each, c, true);
      model.setLinkCut(c, each, true);
    }
    model.runRounds(model.hosts, 100);
    model.restoreAllLinks();
    model.runRounds(model.hosts, 100);
    return Math.max(...model.hosts.map(host => host.replica!.term)) - before;
  };
  expect(termsAfterCut()).to.equal(0);
  expect(termsAfterCut('no pre-vote')).to.be.greaterThan(0);
});

it('check quorum: a leader that loses contact with a majority steps down', () => {
  const roleAfterCut = (flaw?: Flaw): string => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.runRounds(model.hosts, 10);
    for (const each of [b, c]) {
      model.setLinkCut(each, a, true);
    }
    model.runRounds(model.hosts, 40);
    return a.replica!.role;
  };
  expect(roleAfterCut()).to.not.equal('leader');
  expect(roleAfterCut('leaders do not check their quorum')).to.equal('leader');
});

it('leadership transfer: another voter becomes leader without an election timeout', () => {
  const model = groupOf(3);
  const [a, b, c] = model.hosts;
  model.elect(a, [b, c]);
  model.runRounds(model.hosts, 10);
  const startedAt = model.now;
  model.transferLeadership(a);
  model.exchange(model.hosts, 6);
  expect(a.replica?.role).to.equal('follower');
  expect(model.leader()).to.be.oneOf([b, c]);
  expect(model.now).to.equal(startedAt);
});

it('leadership transfer: tries another voter if the first is down', () => {
  const model = groupOf(5);
  const [a, b, ...others] = model.hosts;
  model.elect(a, [b, ...others]);
  model.runRounds(model.hosts, 10);
  const {term} = a.replica!;
  model.crash(b);
  model.transferLeadership(a);
  model.runRounds(model.hosts, 8);
  expect(model.leader()).to.be.oneOf(others);
  expect(model.leader()?.replica?.term).to.equal(term + 1);
});

it('leadership transfer: prefers the voter that answered last', () => {
  const model = groupOf(5);
  const [a, b, ...others] = model.hosts;
  model.elect(a, [b, ...others]);
  model.runRounds(model.hosts, 10);
  const startedAt = model.now;
  model.crash(b);
  model.runRounds(model.hosts, 4);
  model.transferLeadership(a);
  const askedAt = model.now;
  model.exchange(model.hosts, 6);
  expect(model.leader()).to.be.oneOf(others);
  expect(model.now).to.equal(askedAt).and.to.be.greaterThan(startedAt);
});

it('snapshot: a replica behind the compacted log receives it in parts despite lost messages', () => {
  const model = groupOf(3);
  const [a, b, c] = model.hosts;
  model.elect(a, [b, c]);
  model.crash(c);
  for (let count = 0; count < 40; count += 1) {
    model.propose(a);
    model.runRounds([a, b], 1);
  }
  model.dropMessages(message => message.to === c.id);
  model.restart(c);
  expect(a.replica!.compactedTo.index).to.be.greaterThan(c.replica!.lastIndex);
  let parts = 0;
  for (let round = 0; round < 200; round += 1) {
    model.runRounds(model.hosts, 1);
    model.dropMessages(message => {
      parts += message.kind === 'snapshot-part' ? 1 : 0;
      return message.kind === 'snapshot-part' && parts % 5 === 0;
    });
  }
  expect(parts).to.be.greaterThan(10);
  expect(model.runUntil(() => model.isFullyRepaired)).to.equal(true);
  expect(c.applied).to.deep.equal(a.applied);
});
