import {expect} from 'chai';
import type {CacheEvent} from '@marigoldspur/engine-client';
import {CachedPrefixes} from '@marigoldspur/agent-server';

const RETENTION_MS = 1_000;
const BOOT = 'boot-1';

function stored(sequence: number, request: string, block: string): CacheEvent {
  const blocks = ['root', block];
  return {boot: BOOT, sequence, kind: 'stored', request, blocks};
}

function removed(sequence: number, block: string): CacheEvent {
  return {boot: BOOT, sequence, kind: 'removed', blocks: [block]};
}

/**
 * Creates cached prefixes and records the requests `r-0` to `r-9` with the keys
 * `key-0` to `key-9`.
 */
function createPrefixes(maxPrefixes?: number): CachedPrefixes {
  const prefixes = new CachedPrefixes({retentionMs: RETENTION_MS, maxPrefixes});
  for (let index = 0; index < 10; index += 1) {
    prefixes.recordRequest(`r-${index}`, `key-${index}`);
  }
  return prefixes;
}

function listChanges(prefixes: CachedPrefixes) {
  const changes = prefixes.recentChanges()?.changes ?? [];
  return changes.map(({held, key}) => `${held ? '+' : '-'}${key}`);
}

it('cached prefixes: stored and removed prefixes are reported as changes', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(1, 'r-1', 'y'), 0);
  prefixes.applyEvent(removed(2, 'x'), 0);
  expect(listChanges(prefixes)).to.deep.equal(['+key-1', '-key-0']);
  expect(prefixes.has('key-0', 0)).to.equal(false);
  expect(prefixes.has('key-1', 0)).to.equal(true);
});

it('cached prefixes: lost events are counted and later events are applied', () => {
  const prefixes = createPrefixes();
  expect(prefixes.applyEvent(stored(4, 'r-0', 'x'), 0).missed).to.equal(0);
  expect(prefixes.applyEvent(stored(7, 'r-1', 'y'), 0).missed).to.equal(2);
  expect(prefixes.size(0)).to.equal(2);
});

it('cached prefixes: repeated and late events have no effect', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(removed(2, 'x'), 0);
  prefixes.recordRequest('r-0', 'key-0');
  prefixes.applyEvent(stored(1, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(2, 'r-0', 'x'), 0);
  expect(prefixes.has('key-0', 0)).to.equal(false);
});

it('cached prefixes: a prefix whose removal was lost expires', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  expect(prefixes.has('key-0', RETENTION_MS - 1)).to.equal(true);
  expect(prefixes.has('key-0', RETENTION_MS)).to.equal(false);
  expect(prefixes.size(RETENTION_MS)).to.equal(0);
});

it('cached prefixes: a new boot removes all prefixes and restarts the sequence', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(40, 'r-0', 'x'), 0);
  const event = {...stored(0, 'r-1', 'y'), boot: 'boot-2'};
  expect(prefixes.applyEvent(event, 0)).to.deep.equal({
    missed: 0,
    resetReason: 'boot',
  });
  expect(prefixes.recentChanges()).to.deep.equal({
    boot: 'boot-2',
    changes: [{key: 'key-1', held: true}],
  });
  expect(prefixes.has('key-0', 0)).to.equal(false);
});

it('cached prefixes: clearing the cache reports the removal of the latest prompts', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(stored(1, 'r-1', 'y'), 0);
  const event = {boot: BOOT, sequence: 2, kind: 'cleared'} as const;
  expect(prefixes.applyEvent(event, 0).resetReason).to.equal('cleared');
  expect(listChanges(prefixes)).to.deep.equal(['-key-0', '-key-1']);
  expect(prefixes.size(0)).to.equal(0);
});

it('cached prefixes: events of unknown requests and blocks are ignored', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'other', 'x'), 0);
  prefixes.applyEvent(removed(1, 'z'), 0);
  const event = {...stored(2, 'r-0', 'x'), blocks: []} as CacheEvent;
  prefixes.applyEvent(event, 0);
  expect(listChanges(prefixes)).to.deep.equal([]);
  expect(prefixes.size(0)).to.equal(0);
});

it('cached prefixes: a prompt that is sent again is no longer reported as removed', () => {
  const prefixes = createPrefixes();
  prefixes.applyEvent(stored(0, 'r-0', 'x'), 0);
  prefixes.applyEvent(removed(1, 'x'), 0);
  prefixes.recordRequest('r-10', 'key-0');
  expect(listChanges(prefixes)).to.deep.equal([]);
});

it('cached prefixes: the numbers of prefixes and reported changes are limited', () => {
  const prefixes = new CachedPrefixes({
    retentionMs: RETENTION_MS,
    maxPrefixes: 20,
  });
  for (let index = 0; index < 40; index += 1) {
    prefixes.recordRequest(`r-${index}`, `key-${index}`);
    prefixes.applyEvent(stored(index, `r-${index}`, `block-${index}`), 0);
  }
  expect(prefixes.size(0)).to.equal(20);
  expect(listChanges(prefixes)).to.have.lengthOf(16);
  expect(listChanges(prefixes).at(-1)).to.equal('+key-39');
});
