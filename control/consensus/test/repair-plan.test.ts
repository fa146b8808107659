import {expect} from 'chai';
import {
  nextConfiguration,
  repairedReplicas,
  type RepairInput,
} from '@marigoldspur/consensus';

const a = {id: 'a', url: 'url-a'};
const b = {id: 'b', url: 'url-b'};
const c = {id: 'c', url: 'url-c'};
const replacement = {id: 'd', url: 'url-c'};

function repairInput(changes: Partial<RepairInput>): RepairInput {
  return {
    group: 'group',
    configuration: {voters: [a, b, c], learners: []},
    discoveredReplicas: [],
    isCaughtUp: () => false,
    ...changes,
  };
}

it('repair: a replica with a new ID at a known URL becomes a learner', () => {
  const next = nextConfiguration(
    repairInput({discoveredReplicas: [{...replacement, group: ''}]}),
  );
  expect(next).to.deep.equal({voters: [a, b, c], learners: [replacement]});
});

it('repair: a replica of another group is ignored', () => {
  const discoveredReplicas = [{...replacement, group: 'other'}];
  expect(nextConfiguration(repairInput({discoveredReplicas}))).to.equal(
    undefined,
  );
});

it('repair: a learner that is not caught up is not promoted', () => {
  const configuration = {voters: [a, b, c], learners: [replacement]};
  expect(nextConfiguration(repairInput({configuration}))).to.equal(undefined);
});

it('repair: the lost voter is removed before its replacement becomes a voter', () => {
  const isCaughtUp = () => true;
  const first = nextConfiguration(
    repairInput({
      configuration: {voters: [a, b, c], learners: [replacement]},
      isCaughtUp,
    }),
  );
  expect(first).to.deep.equal({
    voters: [a, b],
    learners: [replacement],
    unconfirmed: [],
  });
  const second = nextConfiguration(
    repairInput({configuration: first, isCaughtUp}),
  );
  expect(second).to.deep.equal({
    voters: [a, b, replacement],
    learners: [],
    unconfirmed: [replacement],
  });
});

it('repair: a learner that loses its disk is replaced', () => {
  const next = nextConfiguration(
    repairInput({
      configuration: {voters: [a, b, c], learners: [replacement]},
      discoveredReplicas: [{id: 'e', url: 'url-c', group: ''}],
    }),
  );
  expect(next?.learners).to.deep.equal([{id: 'e', url: 'url-c'}]);
});

it('repair: completes once the replacement holds the entry that made it a voter', () => {
  const configuration = {
    voters: [a, b, replacement],
    learners: [],
    unconfirmed: [replacement],
  };
  expect(nextConfiguration(repairInput({configuration}))).to.equal(undefined);
  const isCaughtUp = (id: string) => id === replacement.id;
  const next = nextConfiguration(repairInput({configuration, isCaughtUp}))!;
  expect(next).to.deep.equal({...configuration, unconfirmed: []});
  expect(repairedReplicas(configuration, next)).to.deep.equal([replacement]);
  expect(repairedReplicas(next, next)).to.deep.equal([]);
});

it('repair: is not reported as complete if the replacement is lost too', () => {
  const secondReplacement = {id: 'e', url: 'url-c'};
  const configuration = {
    voters: [a, b, replacement],
    learners: [secondReplacement],
    unconfirmed: [replacement],
  };
  const isCaughtUp = (id: string) => id !== replacement.id;
  const next = nextConfiguration(repairInput({configuration, isCaughtUp}))!;
  expect(next.voters).to.deep.equal([a, b]);
  expect(next.unconfirmed).to.deep.equal([]);
  expect(repairedReplicas(configuration, next)).to.deep.equal([]);
});

it('repair: a learner at another URL replaces a lost voter', () => {
  const learner = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b, c], learners: [learner]};
  const isCaughtUp = () => true;
  const inputWithDesiredVoters = {configuration, isCaughtUp, desiredVoters: 3};
  expect(nextConfiguration(repairInput(inputWithDesiredVoters))).to.equal(
    undefined,
  );
  const isLost = (id: string) => id === c.id;
  const first = nextConfiguration(
    repairInput({...inputWithDesiredVoters, isLost}),
  )!;
  expect(first.voters).to.deep.equal([a, b]);
  const second = nextConfiguration(
    repairInput({...inputWithDesiredVoters, isLost, configuration: first}),
  )!;
  expect(second.voters).to.deep.equal([a, b, learner]);
});

it('repair: a learner becomes a voter while voters are missing', () => {
  const learner = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b], learners: [learner]};
  const isCaughtUp = () => true;
  const next = nextConfiguration(
    repairInput({configuration, isCaughtUp, desiredVoters: 3}),
  )!;
  expect(next.voters).to.deep.equal([a, b, learner]);
});

it('repair: a lost learner is removed if replicas at other URLs may join', () => {
  const learner = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b, c], learners: [learner]};
  const isLost = (id: string) => id === learner.id;
  const next = nextConfiguration(
    repairInput({configuration, desiredVoters: 3, isLost}),
  )!;
  expect(next.learners).to.deep.equal([]);
});
