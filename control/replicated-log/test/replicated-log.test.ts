import {mkdtemp, readdir, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {createHTTPHandler} from '@trpc/server/adapters/standalone';
import {expect} from 'chai';
import type {Result} from 'true-myth';
import type {Event} from '@marigoldspur/event-catalogue';
import {EventLog} from '@marigoldspur/event-log';
import type {Fault} from '@marigoldspur/faults';
import {listen} from '@marigoldspur/http-link';
import {
  NodeFileSystem,
  openLogStorage,
  type AppendFile,
} from '@marigoldspur/log-storage';
import {
  openReplicatedLog,
  type ReplicatedLog,
  type ReplicatedLogOptions,
  type StateMachine,
} from '@marigoldspur/replicated-log';

const POLL_MS = 10;

/** Collects the applied words. */
class WordList implements StateMachine<string, number> {
  words: string[] = [];

  apply(word: string): number {
    this.words.push(word);
    return this.words.length;
  }

  snapshot(): string {
    return JSON.stringify(this.words);
  }

  restore(snapshot: string): void {
    this.words = JSON.parse(snapshot) as string[];
  }
}

/** A file system whose operations fail with the configured error codes. */
class FailingFiles extends NodeFileSystem {
  writeError: string | undefined;
  syncError: string | undefined;
  removeError: string | undefined;
  folderError: string | undefined;

  override async makeFolder(name: string): Promise<string | undefined> {
    throwIfSet(this.folderError);
    return super.makeFolder(name);
  }

  override async remove(file: string): Promise<void> {
    throwIfSet(this.removeError);
    await super.remove(file);
  }

  override async open(file: string): Promise<AppendFile> {
    const opened = await super.open(file);
    return {
      append: async bytes => {
        throwIfSet(this.writeError);
        await opened.append(bytes);
      },
      truncate: length => opened.truncate(length),
      sync: async () => {
        throwIfSet(this.syncError);
        await opened.sync();
      },
      close: () => opened.close(),
    };
  }
}

function throwIfSet(code: string | undefined): void {
  if (code !== undefined) {
    throw Object.assign(new Error(code), {code});
  }
}

type Log = ReplicatedLog<string, number>;

let folder: string;
let servers: http.Server[] = [];
let logs: Log[] = [];
let recorded: Event[] = [];
let fatalErrors: Fault[] = [];

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-test-'));
  recorded = [];
  fatalErrors = [];
});

afterEach(async () => {
  await Promise.all(logs.map(log => log.stop()));
  servers.forEach(server => server.close());
  servers.forEach(server => server.closeAllConnections());
  servers = [];
  logs = [];
  await rm(folder, {recursive: true});
});

async function openLog(
  machine: WordList,
  options: Partial<ReplicatedLogOptions> = {},
) {
  const opened = await openReplicatedLog(machine, {
    folder: path.join(folder, 'log'),
    url: 'http://127.0.0.1:1',
    peers: [],
    bootstrap: true,
    electionTimeoutMs: 100,
    heartbeatMs: 20,
    proposeTimeoutMs: 500,
    events: new EventLog({
      process: 'test',
      sinks: [{write: event => recorded.push(event)}],
    }),
    onFatal: fault => fatalErrors.push(fault),
    ...options,
  });
  logs.push(opened.log);
  return opened;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await delay(POLL_MS);
  }
}

function isLeader(log: Log): () => boolean {
  return () => log.status().role === 'leader' && log.isReady();
}

function recordedNames(): string[] {
  return recorded.map(event => event.name);
}

async function codeOf(
  answer: Promise<Result<unknown, Fault>>,
): Promise<string | undefined> {
  const result = await answer;
  return result.isErr ? result.error.code : undefined;
}

it('log: a single replica accepts commands and keeps them across a restart', async () => {
  const {log} = await openLog(new WordList());
  await waitUntil(isLeader(log));
  for (const word of ['a', 'b', 'c']) {
    expect((await log.propose(word)).isOk).to.equal(true);
  }
  await log.stop();
  const machine = new WordList();
  const reopened = await openLog(machine);
  await waitUntil(isLeader(reopened.log));
  expect(machine.words).to.deep.equal(['a', 'b', 'c']);
});

it('log: a restart after a snapshot restores each command exactly once', async () => {
  const options = {snapshotEntries: 5, keptEntries: 2};
  const {log} = await openLog(new WordList(), options);
  await waitUntil(isLeader(log));
  const words = Array.from({length: 23}, (_, index) => `word-${index}`);
  for (const word of words) {
    await log.propose(word);
  }
  await waitUntil(() => recordedNames().includes('snapshot-saved'));
  await log.stop();
  const machine = new WordList();
  const reopened = await openLog(machine, options);
  await waitUntil(isLeader(reopened.log));
  expect(machine.words).to.deep.equal(words);
});

it('log: a few large commands are followed by a snapshot, after which their segments are removed', async () => {
  const options = {snapshotBytes: 100_000, segmentBytes: 50_000};
  const {log} = await openLog(new WordList(), options);
  await waitUntil(isLeader(log));
  for (let command = 0; command < 40; command += 1) {
    const proposed = await log.propose('w'.repeat(20_000));
    expect(proposed.isOk).to.equal(true);
  }
  await waitUntil(() => recordedNames().includes('snapshot-saved'));
  const countSegments = async () =>
    (await readdir(folder)).filter(name => name.startsWith('log-')).length;
  while ((await countSegments()) > 4) {
    await delay(POLL_MS);
  }
});

it('log: an empty replica without bootstrap waits to join a group', async () => {
  const {log} = await openLog(new WordList(), {bootstrap: false});
  await waitUntil(() => recordedNames().includes('group-awaited'));
  expect(await codeOf(log.propose('a'))).to.equal('NOT_LEADER');
  expect(log.status()).to.include({role: 'learner', group: ''});
});

it('log: does not form a group while another replica does not answer', async () => {
  const peers = ['http://127.0.0.1:1', 'http://127.0.0.1:9'];
  const {log} = await openLog(new WordList(), {peers});
  await waitUntil(() => recordedNames().includes('group-awaited'));
  expect(log.status().group).to.equal('');
});

it('log: does not form a group if another replica already belongs to one', async () => {
  const {log: member, router} = await openLog(new WordList());
  await waitUntil(isLeader(member));
  const server = http.createServer(
    createHTTPHandler({router, basePath: '/trpc/log/'}),
  );
  servers.push(server);
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const {log} = await openLog(new WordList(), {
    folder: path.join(folder, 'other'),
    url: 'http://127.0.0.1:0',
    peers: ['http://127.0.0.1:0', `http://127.0.0.1:${port}`],
  });
  await waitUntil(() => recordedNames().includes('group-awaited'));
  expect(log.status().group).to.equal('');
});

it('log: a group with too few voters for the desired majority rejects commands', async () => {
  const {log} = await openLog(new WordList());
  await waitUntil(isLeader(log));
  await log.stop();
  const alone = await openLog(new WordList(), {
    peers: ['http://127.0.0.1:1', 'http://127.0.0.1:8', 'http://127.0.0.1:9'],
  });
  await waitUntil(() => alone.log.status().role === 'leader');
  expect(await codeOf(alone.log.propose('a'))).to.equal('NO_QUORUM');
});

it('disk full: rejects commands, loses none and resumes once there is space', async () => {
  const files = new FailingFiles();
  const machine = new WordList();
  const {log} = await openLog(machine, {files});
  await waitUntil(isLeader(log));
  await log.propose('before');
  files.writeError = 'ENOSPC';
  const pending = log.propose('open');
  await waitUntil(() => recordedNames().includes('disk-full'));
  expect(await codeOf(log.propose('refused'))).to.equal('DISK_FULL');
  expect(log.status().diskFull).to.equal(true);
  expect(await codeOf(pending)).to.equal('TIMEOUT');
  files.writeError = undefined;
  await waitUntil(() => recordedNames().includes('disk-has-room'));
  expect((await log.propose('after')).isOk).to.equal(true);
  expect(machine.words).to.deep.equal(['before', 'open', 'after']);
  expect(fatalErrors).to.deep.equal([]);
});

for (const code of ['ENOSPC', 'EIO']) {
  it(`disk full: files that can not be removed do not end the replica (${code}), and are removed later without a command`, async () => {
    const files = new FailingFiles();
    const {log} = await openLog(new WordList(), {
      files,
      snapshotEntries: 10,
      segmentBytes: 200,
    });
    await waitUntil(isLeader(log));
    files.removeError = code;
    for (let count = 0; count < 30; count += 1) {
      expect((await log.propose('a word')).isOk).to.equal(true);
    }
    await waitUntil(() => recordedNames().includes('log-removal-failed'));
    files.removeError = undefined;
    const segmentCount = async () => {
      const names = await readdir(path.join(folder, 'log'));
      return names.filter(name => name.startsWith('log-')).length;
    };
    const before = await segmentCount();
    while ((await segmentCount()) === before) {
      await delay(POLL_MS);
    }
    expect(fatalErrors).to.deep.equal([]);
  }).timeout(20_000);
}

for (const [code, refused, accepted] of [
  ['ENOSPC', 'disk-full', 'disk-has-room'],
  ['EIO', 'disk-failed', 'disk-recovered'],
]) {
  it(`disk full: a replica that is started on a disk with ${code} waits for it`, async () => {
    const files = new FailingFiles();
    files.folderError = code;
    const opening = openLog(new WordList(), {files});
    await Promise.race([
      opening,
      waitUntil(() => recordedNames().includes(refused)),
    ]);
    files.folderError = undefined;
    const {log} = await opening;
    await waitUntil(isLeader(log));
    expect(recordedNames()).to.include(accepted);
    expect(recordedNames()).to.not.include('log-corrupt');
  });
}

for (const code of ['EIO', 'EROFS', 'EMFILE']) {
  it(`failed disk: rejects commands, loses none and resumes once it works (${code})`, async () => {
    const files = new FailingFiles();
    const machine = new WordList();
    const {log} = await openLog(machine, {files});
    await waitUntil(isLeader(log));
    await log.propose('before');
    files.syncError = code;
    const pending = log.propose('open');
    await waitUntil(() => recordedNames().includes('disk-failed'));
    expect(await codeOf(log.propose('refused'))).to.equal('DISK_FAILED');
    expect(log.status()).to.include({diskFailed: true, diskFull: false});
    expect(await codeOf(pending)).to.equal('TIMEOUT');
    files.syncError = undefined;
    await waitUntil(() => recordedNames().includes('disk-recovered'));
    expect((await log.propose('after')).isOk).to.equal(true);
    expect(machine.words).to.deep.equal(['before', 'open', 'after']);
    expect(fatalErrors).to.deep.equal([]);
  });
}

it('unknown error: calls onFatal and accepts no command', async () => {
  const files = new FailingFiles();
  const {log} = await openLog(new WordList(), {files});
  await waitUntil(isLeader(log));
  files.syncError = 'EBADF';
  expect(await codeOf(log.propose('a'))).to.equal('TIMEOUT');
  expect(fatalErrors).to.have.length(1);
  expect(recordedNames()).to.include('log-write-failed');
});

/** Writes words to a log, stops it and flips a bit of its first segment. */
async function damageLog(): Promise<void> {
  const {log} = await openLog(new WordList());
  await waitUntil(isLeader(log));
  await log.propose('a');
  await log.propose('b');
  await log.stop();
  const files = await readdir(path.join(folder, 'log'));
  const segment = files.find(file => file.startsWith('log-'))!;
  const file = path.join(folder, 'log', segment);
  const bytes = Buffer.from(await new NodeFileSystem().read(file));
  bytes[Math.floor(bytes.length / 2)] ^= 1;
  await writeFile(file, bytes);
  recorded = [];
}

it('corrupt data: a replica sets it aside and waits under a new ID, also after a restart and with bootstrap', async () => {
  await damageLog();
  const machine = new WordList();
  const {log} = await openLog(machine);
  await waitUntil(() => recordedNames().includes('group-awaited'));
  const {replica} = log.status();
  expect(recordedNames().slice(0, 3)).to.deep.equal([
    'log-corrupt',
    'log-set-aside',
    'log-opened',
  ]);
  expect(log.status()).to.include({role: 'learner', group: '', term: 0});
  expect(await codeOf(log.propose('c'))).to.equal('NOT_LEADER');
  await log.stop();
  recorded = [];
  const reopened = await openLog(machine);
  await waitUntil(() => recordedNames().includes('group-awaited'));
  expect(recordedNames()).to.not.include('log-set-aside');
  expect(reopened.log.status()).to.include({replica, group: ''});
  expect(machine.words).to.deep.equal([]);
});

it('corrupt data: a new replica forms no group with one that has set its files aside', async () => {
  await damageLog();
  const {router} = await openLog(new WordList());
  const server = http.createServer(
    createHTTPHandler({router, basePath: '/trpc/log/'}),
  );
  servers.push(server);
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  await waitUntil(() => recordedNames().includes('group-awaited'));
  recorded = [];
  const {log} = await openLog(new WordList(), {
    folder: path.join(folder, 'other'),
    url: 'http://127.0.0.1:0',
    peers: ['http://127.0.0.1:0', `http://127.0.0.1:${port}`],
  });
  await waitUntil(() => recordedNames().includes('group-awaited'));
  expect(log.status().group).to.equal('');
  expect(recordedNames()).to.not.include('group-formed');
});

it('corrupt data: records that another version of the program wrote are not set aside', async () => {
  const logFolder = path.join(folder, 'log');
  const {storage} = await openLogStorage({folder: logFolder});
  const state = {group: 'group', term: 'later', vote: ''};
  await storage.save([{operation: 'state', state: state as never}]);
  await storage.close();
  const names = await readdir(logFolder);
  const message = await openLog(new WordList()).catch(
    (thrown: Fault) => thrown.message,
  );
  expect(message).to.include('contains a malformed record');
  expect(recordedNames()).to.deep.equal(['log-corrupt']);
  expect(await readdir(logFolder)).to.deep.equal(names);
});
