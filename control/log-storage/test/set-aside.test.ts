import {expect} from 'chai';
import type {LogOperation} from '@marigoldspur/consensus';
import {
  openLogStorage,
  setAsideLog,
  type FileSystem,
  type OpenedStorage,
} from '@marigoldspur/log-storage';
import {FakeDisk} from './fake-disk.js';
import {UnreliableDisk} from './unreliable-disk.js';

const FOLDER = '/data/log';
const IDENTITY = `${FOLDER}/identity`;
const ENTRIES = 30;

function open(files: FileSystem): Promise<OpenedStorage> {
  return openLogStorage({folder: FOLDER, files, segmentBytes: 600});
}

async function openWithEntries(files: FileSystem): Promise<OpenedStorage> {
  const opened = await open(files);
  const state = {group: 'group', term: 1, vote: 'a'};
  await opened.storage.save([{operation: 'state', state}]);
  for (let index = 1; index <= ENTRIES; index += 1) {
    const content = {kind: 'command', command: `command ${index}`} as const;
    const entries = [{index, term: 1, bytes: 9, content}];
    const save: LogOperation[] = [{operation: 'entries', entries}];
    await opened.storage.save(save);
  }
  return opened;
}

function openOrCode(files: FileSystem): Promise<OpenedStorage | string> {
  return open(files).catch((thrown: {code: string}) => thrown.code);
}

function setAside(files: FileSystem, maxBytes?: number) {
  return setAsideLog({folder: FOLDER, files, maxBytes});
}

it('set aside: the files are kept, and the folder opens as that of a new replica', async () => {
  const disk = new FakeDisk();
  const former = await openWithEntries(disk);
  const names = disk.filesWithPrefix('');
  const contents = names.map(name => disk.contentOf(name));
  const kept = await setAside(disk);
  expect(kept).to.include({files: names.length, removed: 0});
  disk.losePower();
  names.forEach((name, at) =>
    expect(disk.contentOf(`${name}.damaged`)).to.deep.equal(contents[at]),
  );
  for (const isNew of [true, false]) {
    const {id, recovered, ...opened} = await open(disk);
    expect(opened).to.include({isNew, isReplacement: true});
    expect(id).to.not.equal(former.id);
    expect(recovered.state).to.deep.equal({group: '', term: 0, vote: ''});
    disk.losePower();
  }
});

it('set aside: only the files of the last damage are kept', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk);
  await setAside(disk);
  const {id} = await open(disk);
  await setAside(disk);
  expect(disk.filesWithPrefix('')).to.deep.equal([
    `${IDENTITY}.damaged`,
    `${FOLDER}/log-000000000001.damaged`,
  ]);
  const identity = disk.contentOf(`${IDENTITY}.damaged`).toString();
  expect(identity).to.include(id);
});

it('set aside: no more than the limit is kept, the identity and the newest first', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk);
  const newest = disk.filesWithPrefix('log-').slice(-2);
  const sizes = [IDENTITY, ...newest].map(name => disk.contentOf(name).length);
  const maxBytes = sizes.reduce((sum, size) => sum + size);
  const kept = await setAside(disk, maxBytes);
  expect(kept).to.include({files: 3, bytes: maxBytes});
  expect(kept.removed).to.be.greaterThan(2);
  expect(disk.filesWithPrefix('')).to.deep.equal(
    [IDENTITY, ...newest].map(name => `${name}.damaged`),
  );
});

it('set aside: an identity that is too large is emptied and still marks the folder', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk);
  disk.setContent(IDENTITY, Buffer.alloc(5_000));
  await setAside(disk, 1_000);
  expect(disk.contentOf(`${IDENTITY}.damaged`)).to.have.length(0);
  expect((await open(disk)).isReplacement).to.equal(true);
});

it('set aside: a lost identity leaves a replacement too', async () => {
  const disk = new FakeDisk();
  await openWithEntries(disk);
  await disk.remove(IDENTITY);
  expect(await openOrCode(disk)).to.equal('CORRUPT_DATA');
  await setAside(disk);
  expect((await open(disk)).isReplacement).to.equal(true);
});

it('set aside: a power loss at any operation leaves no part of the log under the former ID', async () => {
  for (const choice of ['kept', 'lost', 'alternating'] as const) {
    for (let operations = 0; ; operations += 1) {
      const disk = new UnreliableDisk();
      const former = await openWithEntries(disk);
      await setAside(disk);
      await openWithEntries(disk);
      disk.operationsLeft = operations;
      const isInterrupted = await setAside(disk).then(
        () => false,
        () => true,
      );
      let turn = operations;
      disk.losePower(max => {
        turn += 1;
        const keeps =
          choice === 'alternating' ? turn % 2 === 0 : choice === 'kept';
        return keeps ? max : 0;
      });
      let opened = await openOrCode(disk);
      if (typeof opened === 'string') {
        expect(opened).to.equal('CORRUPT_DATA');
        await setAside(disk);
        opened = await open(disk);
      }
      const {id, isReplacement, recovered} = opened;
      expect(id).to.not.equal(former.id);
      expect(isReplacement).to.equal(true);
      expect([0, ENTRIES]).to.include(recovered.entries.length);
      if (!isInterrupted) {
        break;
      }
    }
  }
});
