import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {NodeFileSystem, openLogStorage} from '@marigoldspur/log-storage';

/** Records the folders that are synced. */
class RecordingFileSystem extends NodeFileSystem {
  readonly synced: string[] = [];

  override async syncFolder(folder: string): Promise<void> {
    this.synced.push(folder);
    await super.syncFolder(folder);
  }
}

let root: string;

beforeEach(async () => {
  root = await mkdtemp(path.join(os.tmpdir(), 'created-folders-'));
});

afterEach(() => rm(root, {recursive: true}));

// Guards against logs that a loss of power removes with a folder above them.
it('created folders: each folder in which one was created is synced at the first start', async () => {
  const files = new RecordingFileSystem();
  const folder = path.join(root, 'data', 'host', 'control', 'log');
  const {storage} = await openLogStorage({folder, files, segmentBytes: 600});
  await storage.close();
  expect(files.synced).to.include.members([
    root,
    path.join(root, 'data'),
    path.join(root, 'data', 'host'),
    path.join(root, 'data', 'host', 'control'),
  ]);
});

it('created folders: the two folders above the log are synced at each start', async () => {
  const folder = path.join(root, 'control', 'log');
  for (let start = 0; start < 2; start += 1) {
    const files = new RecordingFileSystem();
    const {storage} = await openLogStorage({folder, files, segmentBytes: 600});
    await storage.close();
    expect(files.synced).to.include.members([root, path.join(root, 'control')]);
  }
});
