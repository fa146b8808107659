import {expect} from 'chai';
import type {Entry, LogOperation, Snapshot} from '@marigoldspur/consensus';
import {
  openLogStorage,
  type FileSystem,
  type OpenedStorage,
} from '@marigoldspur/log-storage';
import {FakeDisk} from './fake-disk.js';

const FOLDER = '/data/log';
const SEGMENT_BYTES = 600;
const CONFIGURATION = {voters: [{id: 'a', url: 'url'}], learners: []};

function open(files: FileSystem): Promise<OpenedStorage> {
  return openLogStorage({folder: FOLDER, files, segmentBytes: SEGMENT_BYTES});
}

function entry(index: number, term = 1, text = `command ${index}`): Entry {
  const content = {kind: 'command', command: text} as const;
  return {index, term, bytes: text.length, content};
}

function entriesOperation(...entries: Entry[]): LogOperation[] {
  return [{operation: 'entries', entries}];
}

function voteOperation(term: number, candidate: string): LogOperation {
  const state = {group: 'group', term, vote: candidate};
  return {operation: 'state', state};
}

function snapshotAt(index: number, term = 1): Snapshot {
  return {index, term, configuration: CONFIGURATION, data: `up to ${index}`};
}

async function errorCodeOf(work: Promise<unknown>): Promise<unknown> {
  return work.then(
    () => undefined,
    thrown => thrown.code,
  );
}

/** Size of the file of a snapshot, in bytes. */
async function snapshotBytes(snapshot: Snapshot): Promise<number> {
  const disk = new FakeDisk();
  const {storage} = await open(disk);
  await storage.saveSnapshot(snapshot);
  return disk.contentOf(disk.filesWithPrefix('snapshot-')[0]).length;
}

async function openWithEntries(
  disk: FakeDisk,
  count: number,
): Promise<OpenedStorage> {
  const opened = await open(disk);
  await opened.storage.save([voteOperation(1, 'a')]);
  for (let index = 1; index <= count; index += 1) {
    await opened.storage.save(entriesOperation(entry(index)));
  }
  return opened;
}

function lastSegment(disk: FakeDisk): string {
  return disk.filesWithPrefix('log-').at(-1)!;
}

it('storage: saved data survives a power loss', async () => {
  const disk = new FakeDisk();
  const first = await openWithEntries(disk, 20);
  await first.storage.save([
    voteOperation(3, 'b'),
    ...entriesOperation(entry(18, 3)),
  ]);
  disk.losePower();
  const {id, isNew, recovered} = await open(disk);
  expect({id, isNew}).to.deep.equal({id: first.id, isNew: false});
  expect(recovered.state).to.deep.equal({
    group: 'group',
    term: 3,
    vote: 'b',
  });
  expect(
    recovered.entries.map(({index, term}) => [index, term]).slice(-2),
  ).to.deep.equal([
    [17, 1],
    [18, 3],
  ]);
  expect(disk.filesWithPrefix('log-')).to.have.length.greaterThan(2);
});

it('storage: saves many entries with one sync', async () => {
  const disk = new FakeDisk();
  const {storage} = await open(disk);
  const before = disk.syncCount;
  const entries = Array.from({length: 50}, (_, at) => entry(at + 1));
  await storage.save([voteOperation(1, 'a'), ...entriesOperation(...entries)]);
  expect(disk.syncCount - before).to.equal(1);
});

it('torn write: is removed at any length, and earlier entries are kept', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 3);
  const before = disk.contentOf(lastSegment(disk));
  await storage.save(entriesOperation(entry(4), entry(5)));
  const after = disk.contentOf(lastSegment(disk));
  for (let length = before.length; length < after.length; length += 1) {
    const torn = disk.copy();
    torn.setContent(lastSegment(torn), after.subarray(0, length));
    const opened = await open(torn);
    expect(opened.recovered.entries, `${length}`).to.have.length(3);
    expect(opened.tornBytes).to.equal(length - before.length);
    await opened.storage.save(entriesOperation(entry(4, 2)));
    torn.losePower();
    const reopened = await open(torn);
    expect(reopened.recovered.entries.at(-1), `${length}`).to.include({
      index: 4,
      term: 2,
    });
  }
});

it('torn write: is removed even if its first bytes never reached the disk', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk, 3);
  disk.appendTornWrite(lastSegment(disk), Buffer.alloc(100));
  const {recovered, tornBytes} = await open(disk);
  expect(recovered.entries).to.have.length(3);
  expect(tornBytes).to.equal(100);
});

it('torn write: is removed if zeros follow the first bytes of its header', async () => {
  for (const length of [12, 20, 4_096]) {
    const disk = new FakeDisk();
    await openWithEntries(disk, 2);
    const magic = disk.contentOf(lastSegment(disk)).subarray(0, 4);
    const torn = Buffer.concat([magic, Buffer.alloc(length - magic.length)]);
    disk.appendTornWrite(lastSegment(disk), torn);
    const {recovered, tornBytes} = await open(disk);
    expect(recovered.entries).to.have.length(2);
    expect(tornBytes).to.equal(length);
  }
});

it('corrupt data: opening fails for any changed byte before the last write', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 3);
  const name = lastSegment(disk);
  const end = disk.contentOf(name).length;
  await storage.save(entriesOperation(entry(4)));
  for (let at = 0; at < end; at += 1) {
    const corrupt = disk.copy();
    const bytes = Buffer.from(corrupt.contentOf(name));
    bytes[at] ^= 0x40;
    corrupt.setContent(name, bytes);
    expect(await errorCodeOf(open(corrupt)), `${at}`).to.equal('CORRUPT_DATA');
  }
});

it('corrupt data: opening fails for a truncated or missing segment', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk, 30);
  const names = disk.filesWithPrefix('log-');
  expect(names.length).to.be.greaterThan(2);
  for (const name of names.slice(0, -1)) {
    const cut = disk.copy();
    cut.setContent(name, cut.contentOf(name).subarray(0, -1));
    expect(await errorCodeOf(open(cut)), `cut ${name}`).to.equal(
      'CORRUPT_DATA',
    );
    const missing = disk.copy();
    await missing.remove(name);
    expect(await errorCodeOf(open(missing)), `no ${name}`).to.equal(
      'CORRUPT_DATA',
    );
  }
});

it('corrupt data: opening fails for a missing segment if the others hold no entries', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 2);
  const [withEntries] = disk.filesWithPrefix('log-');
  for (let term = 2; disk.filesWithPrefix('log-').length < 3; term += 1) {
    await storage.save([voteOperation(term, 'b')]);
  }
  await open(disk.copy());
  await disk.remove(withEntries);
  expect(await errorCodeOf(open(disk))).to.equal('CORRUPT_DATA');
});

it('corrupt data: opening fails for a damaged snapshot or identity file', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 10);
  await storage.saveSnapshot(snapshotAt(8));
  for (const name of [
    ...disk.filesWithPrefix('snapshot-'),
    ...disk.filesWithPrefix('identity'),
  ]) {
    const corrupt = disk.copy();
    const bytes = Buffer.from(corrupt.contentOf(name));
    bytes[bytes.length - 1] ^= 1;
    corrupt.setContent(name, bytes);
    expect(await errorCodeOf(open(corrupt)), name).to.equal('CORRUPT_DATA');
  }
});

it('corrupt data: opening fails for a log without an identity file', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk, 3);
  await disk.remove(`${FOLDER}/identity`);
  expect(await errorCodeOf(open(disk))).to.equal('CORRUPT_DATA');
});

it('failed sync: the error is not reported as a full disk, and the same write succeeds later', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 2);
  const batch = entriesOperation(entry(3));
  disk.beforeOperation = operation => {
    if (operation === 'sync') {
      throw Object.assign(new Error('input/output error'), {code: 'EIO'});
    }
  };
  expect(await errorCodeOf(storage.save(batch))).to.equal('DISK_FAILED');
  expect(await errorCodeOf(storage.save(batch))).to.equal('DISK_FAILED');
  disk.beforeOperation = () => {};
  await storage.save(batch);
  disk.losePower();
  expect((await open(disk)).recovered.entries).to.have.length(3);
});

it('disk full: no entry is lost, and the same write succeeds once there is space', async () => {
  for (let freeBytes = 0; freeBytes < 150; freeBytes += 7) {
    const disk = new FakeDisk();
    const {storage} = await openWithEntries(disk, 5);
    disk.freeBytes = freeBytes;
    const batch = entriesOperation(entry(6), entry(7));
    expect(await errorCodeOf(storage.save(batch)), `${freeBytes}`).to.equal(
      'DISK_FULL',
    );
    const restarted = disk.copy();
    expect((await open(restarted)).recovered.entries).to.have.length(5);
    disk.freeBytes = Infinity;
    await storage.save(batch);
    disk.losePower();
    expect((await open(disk)).recovered.entries).to.have.length(7);
  }
});

it('disk full: a new segment or snapshot is written once there is space', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 12);
  disk.freeBytes = 20;
  const saved = storage.saveSnapshot(snapshotAt(12));
  expect(await errorCodeOf(saved)).to.equal('DISK_FULL');
  expect(disk.filesWithPrefix('snapshot-')).to.deep.equal([]);
  disk.freeBytes = 20;
  for (let index = 13; index < 25; index += 1) {
    disk.freeBytes = 20;
    const full = storage.save(entriesOperation(entry(index)));
    expect(await errorCodeOf(full)).to.equal('DISK_FULL');
    disk.freeBytes = Infinity;
    await storage.save(entriesOperation(entry(index)));
  }
  disk.losePower();
  expect((await open(disk)).recovered.entries).to.have.length(24);
});

it('disk full: a disk that refuses to truncate the failed write does not end the process', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 5);
  disk.freeBytes = 20;
  disk.refusesTruncation = true;
  const batch = entriesOperation(entry(6));
  for (let attempt = 0; attempt < 3; attempt += 1) {
    expect(await errorCodeOf(storage.save(batch))).to.equal('DISK_FULL');
    const saved = storage.saveSnapshot(snapshotAt(5));
    expect(await errorCodeOf(saved)).to.equal('DISK_FULL');
  }
  disk.freeBytes = Infinity;
  disk.refusesTruncation = false;
  await storage.save(batch);
  disk.losePower();
  expect((await open(disk)).recovered.entries).to.have.length(6);
});

it('snapshot: survives a power loss and replaces the log before it', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 40);
  const before = disk.filesWithPrefix('log-').length;
  await storage.saveSnapshot(snapshotAt(30));
  disk.losePower();
  const {recovered, snapshotData: data} = await open(disk);
  expect(data).to.equal('up to 30');
  expect(recovered.entries[0].index).to.equal(31);
  expect(recovered.entries.at(-1)?.index).to.equal(40);
  expect(disk.filesWithPrefix('log-').length).to.be.lessThan(before);
});

it('snapshot: a power loss that undoes some of the removals of covered segments does not keep the replica from starting', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 40);
  const segments = disk.filesWithPrefix('log-');
  const contents = segments.map(name => disk.contentOf(name));
  await storage.saveSnapshot(snapshotAt(40));
  const removed = segments.filter(
    name => !disk.filesWithPrefix('log-').includes(name),
  );
  expect(removed.length).to.be.greaterThan(2);
  for (const kept of removed.slice(0, -1)) {
    const restored = disk.copy();
    await restored.open(kept);
    restored.setContent(kept, contents[segments.indexOf(kept)]);
    const {storage: reopened, recovered} = await open(restored);
    expect(recovered.entries, kept).to.deep.equal([]);
    await reopened.save(entriesOperation(entry(41)));
    await reopened.saveSnapshot(snapshotAt(41));
    expect(restored.filesWithPrefix('log-')).to.not.include(kept);
  }
});

it('snapshot: is lost in a power loss if the folder is not synced', async () => {
  const dataAfterPowerLoss = async (
    skipsFolderSync: boolean,
  ): Promise<unknown> => {
    const disk = new FakeDisk();
    const {storage} = await openWithEntries(disk, 40);
    disk.skipsFolderSync = skipsFolderSync;
    await storage.saveSnapshot(snapshotAt(40));
    await storage.saveSnapshot(snapshotAt(40));
    disk.losePower();
    return (await open(disk)).snapshotData;
  };
  expect(await dataAfterPowerLoss(false)).to.equal('up to 40');
  expect(await dataAfterPowerLoss(true)).to.equal(undefined);
});

it('installed snapshot: replaces the log and survives a power loss', async () => {
  const disk = new FakeDisk();
  const {storage} = await openWithEntries(disk, 5);
  const install: LogOperation[] = [
    {operation: 'install', snapshot: snapshotAt(9, 2)},
  ];
  await storage.save(install);
  await storage.save(entriesOperation(entry(10, 2)));
  disk.losePower();
  const {recovered, snapshotData: data} = await open(disk);
  expect(data).to.equal('up to 9');
  expect(recovered.entries.map(({index}) => index)).to.deep.equal([10]);
});

it('installed snapshot: replaces the log if a crash interrupts the installation', async () => {
  for (const [index, term] of [
    [9, 2],
    [4, 2],
  ]) {
    const disk = new FakeDisk();
    const {storage} = await openWithEntries(disk, 6);
    const snapshot = snapshotAt(index, term);
    disk.freeBytes = await snapshotBytes(snapshot);
    const interrupted = storage.save([{operation: 'install', snapshot}]);
    expect(await errorCodeOf(interrupted)).to.equal('DISK_FULL');
    disk.freeBytes = Infinity;
    disk.losePower();
    const first = await open(disk);
    expect(first.recovered.entries).to.deep.equal([]);
    await first.storage.save(entriesOperation(entry(index + 1, term)));
    disk.losePower();
    const second = await open(disk);
    expect(second.recovered.entries).to.deep.equal([entry(index + 1, term)]);
  }
});

it('identity: is kept across restarts and new in an empty folder', async () => {
  const disk = new FakeDisk();
  const first = await open(disk);
  disk.losePower();
  const second = await open(disk);
  const other = await open(new FakeDisk());
  expect(first.isNew).to.equal(true);
  expect(second).to.include({id: first.id, isNew: false});
  expect(other.id).to.not.equal(first.id);
});
