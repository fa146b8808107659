import {expect} from 'chai';
import type {LogOperation, Snapshot} from '@marigoldspur/consensus';
import {
  openLogStorage,
  type LogStorage,
  type OpenedStorage,
} from '@marigoldspur/log-storage';
import {FakeDisk, type DiskOperation} from './fake-disk.js';

const FOLDER = '/data/log';
const SEGMENT_BYTES = 300;
const CONFIGURATION = {voters: [{id: 'a', url: 'url'}], learners: []};
/** More attempts than operations are refused one after the other. */
const MAX_ATTEMPTS = 6;

type Action = (storage: LogStorage) => Promise<void>;

function saveEntry(index: number): Action {
  const command = `command ${index}`;
  const content = {kind: 'command', command} as const;
  const entry = {index, term: 1, bytes: command.length, content};
  return storage => storage.save([{operation: 'entries', entries: [entry]}]);
}

function snapshotAt(index: number): Snapshot {
  const data = `up to ${index}`;
  return {index, term: 1, configuration: CONFIGURATION, data};
}

function install(index: number): Action {
  const operations: LogOperation[] = [
    {operation: 'install', snapshot: snapshotAt(index)},
  ];
  return storage => storage.save(operations);
}

/** New segments, a snapshot, an installed one, and entries after each of them. */
const ACTIONS: readonly Action[] = [
  ...[1, 2, 3, 4, 5, 6, 7, 8].map(saveEntry),
  storage => storage.saveSnapshot(snapshotAt(7)),
  ...[9, 10, 11, 12].map(saveEntry),
  install(20),
  ...[21, 22, 23, 24, 25].map(saveEntry),
];

/** Makes `count` operations after the first `after` ones fail, and returns what they were. */
function refuse(
  disk: FakeDisk,
  after: number,
  count: number,
  code: string,
): string[] {
  const refused: string[] = [];
  let done = 0;
  disk.beforeOperation = (operation, name) => {
    done += 1;
    if (done > after && refused.length < count) {
      refused.push(`${operation} ${name}`);
      throw Object.assign(new Error(`${code}: ${operation}`), {code});
    }
  };
  return refused;
}

function open(
  disk: FakeDisk,
  {isSyncInDoubt = false} = {},
): Promise<OpenedStorage> {
  return openLogStorage({
    folder: FOLDER,
    files: disk,
    segmentBytes: SEGMENT_BYTES,
    isSyncInDoubt,
  });
}

/** What the storage reports for each error of the disk. */
const REPORTED_CODES = {
  ...{ENOSPC: 'DISK_FULL', EDQUOT: 'DISK_FULL'},
  ...{EIO: 'DISK_FAILED', EROFS: 'DISK_FAILED', EMFILE: 'DISK_FAILED'},
};

/** Runs an action until it succeeds, as the writer of batches does. */
async function retryWhileRefused<T>(
  action: () => Promise<T>,
  reported: string,
  title: () => string,
): Promise<T> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await action();
    } catch (thrown) {
      const {code} = thrown as {code?: string};
      expect(`${code} in attempt ${attempt}`, title()).to.equal(
        `${reported} in attempt ${Math.min(attempt, MAX_ATTEMPTS)}`,
      );
    }
  }
}

/** What a replica holds after a loss of power. */
async function heldAfterPowerLoss(disk: FakeDisk) {
  disk.beforeOperation = () => {};
  disk.losePower();
  const {recovered, snapshotData} = await open(disk);
  return {snapshotData, indexes: recovered.entries.map(({index}) => index)};
}

for (const [code, reported] of Object.entries(REPORTED_CODES)) {
  for (const count of [1, 2, 4]) {
    it(`refused operations: ${count} refused in a row with ${code}, whichever they are; nothing ends the process or is lost`, async () => {
      for (let after = 0, isRefused = true; isRefused; after += 1) {
        const disk = new FakeDisk();
        const {storage} = await open(disk);
        const refused = refuse(disk, after, count, code);
        for (const [at, action] of ACTIONS.entries()) {
          await retryWhileRefused(
            () => action(storage),
            reported,
            () => `action ${at}, refused: ${refused.join(', ')}`,
          );
        }
        isRefused = refused.length > 0;
        expect(await heldAfterPowerLoss(disk), refused.join()).to.deep.equal({
          snapshotData: 'up to 20',
          indexes: [21, 22, 23, 24, 25],
        });
      }
    });
  }
}

it('refused operations: files that could not be removed are removed later', async () => {
  for (const code of ['ENOSPC', 'EIO']) {
    const disk = new FakeDisk();
    const {storage} = await open(disk);
    for (const action of ACTIONS.slice(0, 8)) {
      await action(storage);
    }
    const before = disk.filesWithPrefix('log-').length;
    disk.beforeOperation = operation => {
      if (operation === 'remove') {
        throw Object.assign(new Error(code), {code});
      }
    };
    await storage.saveSnapshot(snapshotAt(8));
    expect(disk.filesWithPrefix('log-')).to.have.length(before);
    expect(storage.hasCoveredFiles).to.equal(true);
    disk.beforeOperation = () => {};
    await storage.removeCoveredFiles();
    expect(storage.hasCoveredFiles).to.equal(false);
    expect(disk.filesWithPrefix('log-')).to.have.length.below(before);
  }
});

/** A log whose last write was cut off for lack of space. */
async function createTornDisk(): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const {storage} = await open(disk);
  for (const action of ACTIONS.slice(0, 13)) {
    await action(storage);
  }
  disk.freeBytes = 20;
  await saveEntry(13)(storage).catch(() => (disk.freeBytes = Infinity));
  expect(disk.freeBytes).to.equal(Infinity);
  return disk;
}

/** A log whose process was killed before the last write was synced. */
async function createUnsyncedDisk(): Promise<FakeDisk> {
  const disk = new FakeDisk();
  const {storage} = await open(disk);
  for (const action of ACTIONS.slice(0, 13)) {
    await action(storage);
  }
  disk.skipsFileSync = true;
  await saveEntry(13)(storage);
  disk.skipsFileSync = false;
  return disk;
}

const DISKS = {
  new: async () => new FakeDisk(),
  torn: createTornDisk,
  unsynced: createUnsyncedDisk,
};
const OPERATIONS: readonly DiskOperation[] = [
  ...(['makeFolder', 'open', 'append', 'truncate'] as const),
  ...(['sync', 'rename', 'remove', 'syncFolder'] as const),
];

for (const [code, reported] of Object.entries(REPORTED_CODES)) {
  it(`refused operations: a storage that is opened on a disk with ${code} opens later and loses nothing`, async () => {
    for (const [kind, create] of Object.entries(DISKS)) {
      for (const operation of OPERATIONS) {
        const disk = await create();
        const next = kind === 'new' ? 1 : kind === 'torn' ? 13 : 14;
        let isRefused = true;
        disk.beforeOperation = each => {
          if (isRefused && each === operation) {
            throw Object.assign(new Error(code), {code});
          }
        };
        let attempts = 0;
        const {storage, recovered} = await retryWhileRefused(
          () => {
            isRefused = (attempts += 1) < 3;
            return open(disk, {isSyncInDoubt: attempts > 1});
          },
          reported,
          () => `${kind}, ${operation}`,
        );
        isRefused = false;
        const indexes = recovered.entries.map(({index}) => index);
        expect(indexes.at(-1) ?? 0, `${kind}, ${operation}`).to.equal(next - 1);
        await saveEntry(next)(storage);
        const held = await heldAfterPowerLoss(disk);
        expect(held.indexes, `${kind}, ${operation}`).to.deep.equal([
          ...indexes,
          next,
        ]);
      }
    }
  });
}
