import {expect} from 'chai';
import {GroupModel, numbersFrom, Violation, type Flaw} from './group-model.js';

const SEED = 4;

function groupOf(size: number, flaw?: Flaw, voters = size): GroupModel {
  return new GroupModel(size, numbersFrom(SEED), flaw, voters);
}

/** Plays a story whole, and without a mechanism: only then it must break a property. */
function expectCaught(
  flaw: Flaw,
  story: (flaw: Flaw | undefined) => GroupModel,
): void {
  story(undefined);
  expect(() => story(flaw)).to.throw(Violation);
}

it('empty folder: does not vote a lagging replica into office', () => {
  expectCaught('an empty folder votes under the old identity', flaw => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.exchange([a, b, c], 6);
    model.thawOnly([a, b]);
    model.propose(a);
    model.exchange([a, b], 6);
    expect(model.committedCommands).to.equal(1);
    model.crash(a);
    model.loseWhere(() => true);
    model.replaceDisk(b);
    if (flaw === undefined) {
      expect(() => model.elect(c, [b])).to.throw('was not elected');
    } else {
      model.elect(c, [b]);
    }
    return model;
  });
});

it('old terms: entries do not commit by count', () => {
  expectCaught('entries of old terms commit by count', flaw => {
    const model = groupOf(5, flaw);
    const [a, b, c, d, e] = model.hosts;
    model.elect(a, [b, c, d, e]);
    model.exchange(model.hosts, 6);
    model.thawOnly([a, b]);
    model.propose(a);
    model.exchange([a, b], 4);
    model.crash(a);
    model.loseWhere(() => true);
    model.elect(e, [c, d]);
    model.sync(e);
    model.loseWhere(() => true);
    model.crash(e);
    model.restart(a);
    model.elect(a, [b, c]);
    const {term} = a.replica!;
    for (let round = 0; round < 8; round += 1) {
      model.exchange([a, b, c]);
      model.loseWhere(
        message =>
          message.kind === 'append' &&
          message.entries.some(entry => entry.term === term),
      );
    }
    model.crash(a);
    model.loseWhere(() => true);
    model.restart(e);
    model.elect(e, [b, c, d]);
    model.exchange(model.hosts, 12);
    return model;
  });
});

it('voters: change one at a time', () => {
  expectCaught('two voters change at once', flaw => {
    const model = groupOf(5, flaw, 3);
    const [a, b, c, d, e] = model.hosts;
    model.elect(a, [b, c]);
    for (let round = 0; round < 2; round += 1) {
      model.exchange([a, b, c], 6);
      model.repair();
    }
    model.run([a, b, c], 4);
    model.thawOnly([a, d, e]);
    model.run([a, d, e], 8);
    expect(model.configuration?.learners).to.have.length(2);
    for (const near of [a, d, e]) {
      for (const far of [b, c]) {
        model.cut(near, far, true);
        model.cut(far, near, true);
      }
    }
    model.loseWhere(() => true);
    model.repair();
    model.exchange([a, d, e], 6);
    model.propose(a);
    model.exchange([a, d, e], 6);
    model.elect(b, [c]);
    model.exchange([b, c], 6);
    return model;
  });
});

it('repair: is done only once the replacement holds its own entry', () => {
  expectCaught('a repair is done before its replacement is caught up', flaw => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.run(model.hosts, 10);
    model.replaceDisk(c);
    for (let step = 0; step < 2; step += 1) {
      model.repair();
      model.run(model.hosts, 10);
    }
    expect(model.configuration?.voters).to.have.length(2);
    model.cut(a, c, true);
    model.repair();
    model.run([a, b], 3);
    model.repair();
    expect(model.configuration?.unconfirmed).to.have.length(1);
    model.cut(a, c, false);
    model.run(model.hosts, 10);
    model.repair();
    expect(model.configuration?.unconfirmed).to.have.length(0);
    return model;
  });
});

it('fresh read: a frozen leader that thaws answers none', () => {
  expectCaught('reads skip the majority', flaw => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.exchange([a, b, c], 6);
    model.elect(b, [c]);
    model.exchange([b, c], 6);
    model.propose(b);
    model.exchange([b, c], 6);
    expect(model.committedCommands).to.equal(1);
    model.thawOnly([a]);
    model.read(a);
    return model;
  });
});

it('pre-vote: a replica that was cut off does not depose the leader', () => {
  const termsAfterCut = (flaw?: Flaw): number => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.run(model.hosts, 10);
    const before = a.replica!.term;
    for (const each of [a, b]) {
      model.cut(each, c, true);
      model.cut(c, each, true);
    }
    model.run(model.hosts, 100);
    model.mendAll();
    model.run(model.hosts, 100);
    return Math.max(...model.hosts.map(host => host.replica!.term)) - before;
  };
  expect(termsAfterCut()).to.equal(0);
  expect(termsAfterCut('no pre-vote')).to.be.greaterThan(0);
});

it('quorum check: a leader that hears no majority steps down', () => {
  const roleAfterCut = (flaw?: Flaw): string => {
    const model = groupOf(3, flaw);
    const [a, b, c] = model.hosts;
    model.elect(a, [b, c]);
    model.run(model.hosts, 10);
    for (const each of [b, c]) {
      model.cut(each, a, true);
    }
    model.run(model.hosts, 40);
    return a.replica!.role;
  };
  expect(roleAfterCut()).to.not.equal('leader');
  expect(roleAfterCut('no quorum check')).to.equal('leader');
});

it('hand-over: another voter leads without an election timeout', () => {
  const model = groupOf(3);
  const [a, b, c] = model.hosts;
  model.elect(a, [b, c]);
  model.run(model.hosts, 10);
  const startedAt = model.now;
  model.handOver(a);
  model.exchange(model.hosts, 6);
  expect(a.replica?.role).to.equal('follower');
  expect(model.leader()).to.be.oneOf([b, c]);
  expect(model.now).to.equal(startedAt);
});

it('snapshot: a replica behind the log receives it in parts, over cuts', () => {
  const model = groupOf(3);
  const [a, b, c] = model.hosts;
  model.elect(a, [b, c]);
  model.crash(c);
  for (let count = 0; count < 40; count += 1) {
    model.propose(a);
    model.run([a, b], 1);
  }
  model.loseWhere(message => message.to === c.id);
  model.restart(c);
  expect(a.replica!.compactedTo.index).to.be.greaterThan(c.replica!.lastIndex);
  let parts = 0;
  for (let round = 0; round < 200; round += 1) {
    model.run(model.hosts, 1);
    model.loseWhere(message => {
      parts += message.kind === 'snapshot-part' ? 1 : 0;
      return message.kind === 'snapshot-part' && parts % 5 === 0;
    });
  }
  expect(parts).to.be.greaterThan(10);
  expect(model.settle(() => model.isWhole)).to.equal(true);
  expect(c.applied).to.deep.equal(a.applied);
});
