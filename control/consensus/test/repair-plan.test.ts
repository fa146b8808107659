import {expect} from 'chai';
import {
  nextConfiguration,
  repairedBetween,
  type RepairView,
} from '@marigoldspur/consensus';

const a = {id: 'a', url: 'url-a'};
const b = {id: 'b', url: 'url-b'};
const c = {id: 'c', url: 'url-c'};
const replacement = {id: 'd', url: 'url-c'};

function view(changes: Partial<RepairView>): RepairView {
  return {
    group: 'group',
    configuration: {voters: [a, b, c], learners: []},
    sightings: [],
    isCaughtUp: () => false,
    ...changes,
  };
}

it('repair: a new identity at a known URL becomes a learner', () => {
  const next = nextConfiguration(
    view({sightings: [{...replacement, group: ''}]}),
  );
  expect(next).to.deep.equal({voters: [a, b, c], learners: [replacement]});
});

it('repair: a replica of another group is left alone', () => {
  const sightings = [{...replacement, group: 'other'}];
  expect(nextConfiguration(view({sightings}))).to.equal(undefined);
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
      sightings: [{id: 'e', url: 'url-c', group: ''}],
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
  expect(repairedBetween(configuration, next)).to.deep.equal([replacement]);
  expect(repairedBetween(next, next)).to.deep.equal([]);
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
  expect(repairedBetween(configuration, next)).to.deep.equal([]);
});
