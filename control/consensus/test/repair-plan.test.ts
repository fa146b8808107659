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

function view(changes: Partial<RepairInput>): RepairInput {
  return {
    group: 'group',
    configuration: {voters: [a, b, c], learners: []},
    discoveredReplicas: [],
    isCaughtUp: () => false,
    ...changes,
  };
}

it('repair: a new identity at a known URL becomes a learner', () => {
  const next = nextConfiguration(
    view({discoveredReplicas: [{...replacement, group: ''}]}),
  );
  expect(next).to.deep.equal({voters: [a, b, c], learners: [replacement]});
});

it('repair: a replica of another group is left alone', () => {
  const sightings = [{...replacement, group: 'other'}];
  expect(nextConfiguration(view({discoveredReplicas: sightings}))).to.equal(
    undefined,
  );
});

it('repair: a learner that is not caught up does not count', () => {
  const configuration = {voters: [a, b, c], learners: [replacement]};
  expect(nextConfiguration(view({configuration}))).to.equal(undefined);
});

it('repair: the lost voter leaves before its replacement counts', () => {
  const isCaughtUp = () => true;
  const first = nextConfiguration(
    view({
      configuration: {voters: [a, b, c], learners: [replacement]},
      isCaughtUp,
    }),
  );
  expect(first).to.deep.equal({
    voters: [a, b],
    learners: [replacement],
    unconfirmed: [],
  });
  const second = nextConfiguration(view({configuration: first, isCaughtUp}));
  expect(second).to.deep.equal({
    voters: [a, b, replacement],
    learners: [],
    unconfirmed: [replacement],
  });
});

it('repair: a learner whose disk is lost again is replaced', () => {
  const next = nextConfiguration(
    view({
      configuration: {voters: [a, b, c], learners: [replacement]},
      discoveredReplicas: [{id: 'e', url: 'url-c', group: ''}],
    }),
  );
  expect(next?.learners).to.deep.equal([{id: 'e', url: 'url-c'}]);
});

it('repair: is done once the replacement holds the entry that made it a voter', () => {
  const configuration = {
    voters: [a, b, replacement],
    learners: [],
    unconfirmed: [replacement],
  };
  expect(nextConfiguration(view({configuration}))).to.equal(undefined);
  const isCaughtUp = (id: string) => id === replacement.id;
  const next = nextConfiguration(view({configuration, isCaughtUp}))!;
  expect(next).to.deep.equal({...configuration, unconfirmed: []});
  expect(repairedReplicas(configuration, next)).to.deep.equal([replacement]);
  expect(repairedReplicas(next, next)).to.deep.equal([]);
});

it('repair: of a replacement that is lost too is never called done', () => {
  const again = {id: 'e', url: 'url-c'};
  const configuration = {
    voters: [a, b, replacement],
    learners: [again],
    unconfirmed: [replacement],
  };
  const isCaughtUp = (id: string) => id !== replacement.id;
  const next = nextConfiguration(view({configuration, isCaughtUp}))!;
  expect(next.voters).to.deep.equal([a, b]);
  expect(next.unconfirmed).to.deep.equal([]);
  expect(repairedReplicas(configuration, next)).to.deep.equal([]);
});

it('repair: a learner at another URL replaces a voter that is lost', () => {
  const elsewhere = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b, c], learners: [elsewhere]};
  const isCaughtUp = () => true;
  const open = {configuration, isCaughtUp, desiredVoters: 3};
  expect(nextConfiguration(view(open))).to.equal(undefined);
  const isLost = (id: string) => id === c.id;
  const first = nextConfiguration(view({...open, isLost}))!;
  expect(first.voters).to.deep.equal([a, b]);
  const second = nextConfiguration(
    view({...open, isLost, configuration: first}),
  )!;
  expect(second.voters).to.deep.equal([a, b, elsewhere]);
});

it('repair: a learner joins while voters are missing', () => {
  const elsewhere = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b], learners: [elsewhere]};
  const isCaughtUp = () => true;
  const next = nextConfiguration(
    view({configuration, isCaughtUp, desiredVoters: 3}),
  )!;
  expect(next.voters).to.deep.equal([a, b, elsewhere]);
});

it('repair: a learner that is lost is dropped where others may come', () => {
  const elsewhere = {id: 'd', url: 'url-d'};
  const configuration = {voters: [a, b, c], learners: [elsewhere]};
  const isLost = (id: string) => id === elsewhere.id;
  const next = nextConfiguration(
    view({configuration, desiredVoters: 3, isLost}),
  )!;
  expect(next.learners).to.deep.equal([]);
});
