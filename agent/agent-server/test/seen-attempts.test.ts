import {expect} from 'chai';
import {SeenAttempts} from '../src/seen-attempts.js';

it('seen attempts: an attempt is new only once until it expires', () => {
  const seen = new SeenAttempts({retentionMs: 100});
  expect(seen.add('r.1', 0)).to.equal(true);
  expect(seen.add('r.1', 99)).to.equal(false);
  expect(seen.add('r.2', 99)).to.equal(true);
  expect(seen.add('r.1', 100)).to.equal(true);
});

it('seen attempts: the number of stored attempts is limited and the oldest are removed first', () => {
  const seen = new SeenAttempts({maxAttempts: 2});
  ['r.1', 'r.2', 'r.3'].forEach(attempt => seen.add(attempt, 0));
  expect(seen.add('r.3', 1)).to.equal(false);
  expect(seen.add('r.1', 1)).to.equal(true);
});
