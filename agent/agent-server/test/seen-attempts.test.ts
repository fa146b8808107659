import {expect} from 'chai';
import {SeenAttempts} from '../src/seen-attempts.js';

it('seen attempts: one is new once, until its time is over', () => {
  const seen = new SeenAttempts({keepMs: 100});
  expect(seen.add('r.1', 0)).to.equal(true);
  expect(seen.add('r.1', 99)).to.equal(false);
  expect(seen.add('r.2', 99)).to.equal(true);
  expect(seen.add('r.1', 100)).to.equal(true);
});

it('seen attempts: their number is bounded, oldest first', () => {
  const seen = new SeenAttempts({limit: 2});
  ['r.1', 'r.2', 'r.3'].forEach(attempt => seen.add(attempt, 0));
  expect(seen.add('r.3', 1)).to.equal(false);
  expect(seen.add('r.1', 1)).to.equal(true);
});
