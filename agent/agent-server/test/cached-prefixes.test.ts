import {expect} from 'chai';
import type {CacheEvent} from '@marigoldspur/target-client';
import {CachedPrefixes} from '@marigoldspur/agent-server';

const KEEP_MS = 1_000;
const BOOT = 'boot-1';

function stored(sequence: number, request: string, block: string): CacheEvent {
  const blocks = ['root', block];
  return {boot: BOOT, sequence, kind: 'stored', request, blocks};
}

function removed(sequence: number, block: string): CacheEvent {
  return {boot: BOOT, sequence, kind: 'removed', blocks: [block]};
}

/** A table in which requests `r-0` to `r-9` were sent with keys `key-0` to `key-9`. */
function table(maxPrefixes?: number): CachedPrefixes {
  const prefixes = new CachedPrefixes({keepMs: KEEP_MS, maxPrefixes});
  for (let index = 0; index < 10; index += 1) {
    prefixes.recordRequest(`r-${index}`, `key-${index}`);
  }
  return prefixes;
}

function told(prefixes: CachedPrefixes) {
  const changes = prefixes.recentChanges()?.changes ?? [];
  return changes.map(({held, key}) => `${held ? '+' : '-'}${key}`);
}

it('cached prefixes: what is stored and removed is told', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(1, 'r-1', 'y'), 0);
  prefixes.applyEvent(removed(2, 'x'), 0);
  expect(told(prefixes)).to.deep.equal(['+key-1', '-key-0']);
  expect(prefixes.has('key-0', 0)).to.equal(false);
  expect(prefixes.has('key-1', 0)).to.equal(true);
});

it('cached prefixes: a gap is counted, and what comes after it counts', () => {
  const prefixes = table();
  expect(prefixes.applyEvent(stored(4, 'r-0', 'x'), 0).missed).to.equal(0);
  expect(prefixes.applyEvent(stored(7, 'r-1', 'y'), 0).missed).to.equal(2);
  expect(prefixes.size(0)).to.equal(2);
});

it('cached prefixes: an event that comes again or late changes nothing', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(removed(2, 'x'), 0);
  prefixes.recordRequest('r-0', 'key-0');
  prefixes.applyEvent(stored(1, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(2, 'r-0', 'x'), 0);
  expect(prefixes.has('key-0', 0)).to.equal(false);
});

it('cached prefixes: a lost removal ends with the expiry', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  expect(prefixes.has('key-0', KEEP_MS - 1)).to.equal(true);
  expect(prefixes.has('key-0', KEEP_MS)).to.equal(false);
  expect(prefixes.size(KEEP_MS)).to.equal(0);
});

it('cached prefixes: a new boot forgets all, and numbers begin anew', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(40, 'r-0', 'x'), 0);
  const event = {...stored(0, 'r-1', 'y'), boot: 'boot-2'};
  expect(prefixes.applyEvent(event, 0)).to.deep.equal({
    missed: 0,
    forgotten: 'boot',
  });
  expect(prefixes.recentChanges()).to.deep.equal({
    boot: 'boot-2',
    changes: [{key: 'key-1', held: true}],
  });
  expect(prefixes.has('key-0', 0)).to.equal(false);
});

it('cached prefixes: a cleared cache is told for the latest prompts', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(1, 'r-1', 'y'), 0);
  const event = {boot: BOOT, sequence: 2, kind: 'cleared'} as const;
  expect(prefixes.applyEvent(event, 0).forgotten).to.equal('cleared');
  expect(told(prefixes)).to.deep.equal(['-key-0', '-key-1']);
  expect(prefixes.size(0)).to.equal(0);
});

it('cached prefixes: events of unknown requests and blocks are passed over', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'other', 'x'), 0);
  prefixes.applyEvent(removed(1, 'z'), 0);
  const event = {...stored(2, 'r-0', 'x'), blocks: []} as CacheEvent;
  prefixes.applyEvent(event, 0);
  expect(told(prefixes)).to.deep.equal([]);
  expect(prefixes.size(0)).to.equal(0);
});

it('cached prefixes: a prompt that is sent again is no longer told as dropped', () => {
  const prefixes = table();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(removed(1, 'x'), 0);
  prefixes.recordRequest('r-10', 'key-0');
  expect(told(prefixes)).to.deep.equal([]);
});

it('cached prefixes: memory and what is told are bounded', () => {
  const prefixes = new CachedPrefixes({keepMs: KEEP_MS, maxPrefixes: 20});
  for (let index = 0; index < 40; index += 1) {
    prefixes.recordRequest(`r-${index}`, `key-${index}`);
    prefixes.applyEvent(stored(index, `r-${index}`, `block-${index}`), 0);
  }
  expect(prefixes.size(0)).to.equal(20);
  expect(told(prefixes)).to.have.lengthOf(16);
  expect(told(prefixes).at(-1)).to.equal('+key-39');
});
