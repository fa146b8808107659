import {expect} from 'chai';
import {
  checkLinearizable,
  SETTINGS_MODEL,
  type Operation,
  type SettingsAnswer,
  type SettingsCall,
} from '@marigoldspur/linearizability-check';

type SettingsOperation = Operation<SettingsCall, SettingsAnswer>;

function propose(
  id: string,
  number: number,
  times: readonly [number, number?],
  answer?: SettingsAnswer,
): SettingsOperation {
  const [calledAt, answeredAt] = times;
  return {call: {kind: 'propose', id, number}, calledAt, answeredAt, answer};
}

function read(
  revision: number,
  head: string,
  times: readonly [number, number],
): SettingsOperation {
  const [calledAt, answeredAt] = times;
  const answer = {kind: 'read', revision, head} as const;
  return {call: {kind: 'read'}, calledAt, answeredAt, answer};
}

const accepted = (revision: number) => ({kind: 'accepted', revision}) as const;

function isLinearizable(...operations: SettingsOperation[]): boolean {
  return checkLinearizable(SETTINGS_MODEL, operations).linearizable;
}

it('linearizability: a race with one winner is linearizable', () => {
  const conflict = {kind: 'conflict', revision: 1, winner: 'a'} as const;
  expect(
    isLinearizable(
      propose('a', 1, [0, 5], accepted(1)),
      propose('b', 1, [1, 4], conflict),
      read(1, 'a', [6, 7]),
    ),
  ).to.equal(true);
});

it('linearizability: two winners of one number are detected', () => {
  expect(
    isLinearizable(
      propose('a', 1, [0, 5], accepted(1)),
      propose('b', 1, [1, 4], accepted(1)),
    ),
  ).to.equal(false);
});

it('linearizability: a stale read is detected', () => {
  expect(
    isLinearizable(propose('a', 1, [0, 1], accepted(1)), read(0, '', [2, 3])),
  ).to.equal(false);
  expect(
    isLinearizable(propose('a', 1, [0, 3], accepted(1)), read(0, '', [2, 4])),
  ).to.equal(true);
});

it('linearizability: an accepted change that reverts is detected', () => {
  expect(
    isLinearizable(
      propose('a', 1, [0, 1], accepted(1)),
      read(1, 'a', [2, 3]),
      read(0, '', [4, 5]),
    ),
  ).to.equal(false);
});

it('linearizability: an unanswered change may have taken effect or not', () => {
  expect(isLinearizable(propose('a', 1, [0]), read(1, 'a', [5, 6]))).to.equal(
    true,
  );
  expect(isLinearizable(propose('a', 1, [0]), read(0, '', [5, 6]))).to.equal(
    true,
  );
});

it('linearizability: a resend with another answer is detected', () => {
  const conflict = {kind: 'conflict', revision: 2, winner: 'a'} as const;
  expect(
    isLinearizable(
      propose('a', 1, [0, 1], accepted(1)),
      propose('b', 2, [2, 3], accepted(2)),
      propose('a', 1, [4, 5], conflict),
    ),
  ).to.equal(false);
});
