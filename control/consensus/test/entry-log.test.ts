import {expect} from 'chai';
import {EntryLog} from '../src/entry-log.js';

function createLog(...sizes: readonly number[]): EntryLog {
  return new EntryLog(
    undefined,
    sizes.map((bytes, position) => ({
      index: position + 1,
      term: 1,
      bytes,
      content: {kind: 'no-op'},
    })),
  );
}

it('entry log: the entries before an index are limited by their number', () => {
  expect(createLog(1, 1, 1, 1, 1).indexBefore(4, 2, 1_000)).to.equal(2);
});

it('entry log: the entries before an index are limited by their size', () => {
  const log = createLog(400, 400, 400, 400, 1);
  expect(log.indexBefore(4, 100, 900)).to.equal(2);
  expect(log.indexBefore(4, 100, 399)).to.equal(4);
});

it('entry log: the limit before an index does not pass the compacted prefix', () => {
  const log = createLog(1, 1, 1, 1);
  log.compact(2);
  expect(log.indexBefore(4, 100, 1_000)).to.equal(2);
  expect(log.bytesBetween(0, 4)).to.equal(2);
});
