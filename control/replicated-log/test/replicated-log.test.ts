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
import {NodeFileSystem, type AppendFile} from '@marigoldspur/log-storage';
import {
  openReplicatedLog,
  type ReplicatedLog,
  type ReplicatedLogOptions,
  type StateMachine,
} from '@marigoldspur/replicated-log';

const POLL_MS = 10;

class Words implements StateMachine<string, number> {
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

/** The machine's files, with writes or syncs that fail while told to. */
class FailingFiles extends NodeFileSystem {
  writeError: string | undefined;
  syncError: string | undefined;

  override async open(file: string): Promise<AppendFile> {
    const opened = await super.open(file);
    return {
      append: async bytes => {
        fail(this.writeError);
        await opened.append(bytes);
      },
      truncate: length => opened.truncate(length),
      sync: async () => {
        fail(this.syncError);
        await opened.sync();
      },
      close: () => opened.close(),
    };
  }
}

function fail(code: string | undefined): void {
  if (code !== undefined) {
    throw Object.assign(new Error(code), {code});
  }
}

type Log = ReplicatedLog<string, number>;

let folder: string;
let servers: http.Server[] = [];
let logs: Log[] = [];
let recorded: Event[] = [];
let fatal: Fault[] = [];

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-test-'));
  recorded = [];
  fatal = [];
});

afterEach(async () => {
  await Promise.all(logs.map(log => log.stop()));
  servers.forEach(server => server.close());
  servers.forEach(server => server.closeAllConnections());
  servers = [];
  logs = [];
  await rm(folder, {recursive: true});
});

async function openOne(
  machine: Words,
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
    onFatal: fault => fatal.push(fault),
    ...options,
  });
  logs.push(opened.log);
  return opened;
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await delay(POLL_MS);
  }
}

function isLeader(log: Log): () => boolean {
  return () => log.status().role === 'leader' && log.isReady();
}

function names(): string[] {
  return recorded.map(event => event.name);
}

async function codeOf(
  answer: Promise<Result<unknown, Fault>>,
): Promise<string | undefined> {
  const result = await answer;
  return result.isErr ? result.error.code : undefined;
}

it('log: a group of one accepts, and has everything after a restart', async () => {
  const {log} = await openOne(new Words());
  await until(isLeader(log));
  for (const word of ['a', 'b', 'c']) {
    expect((await log.propose(word)).isOk).to.equal(true);
  }
  await log.stop();
  const machine = new Words();
  const again = await openOne(machine);
  await until(isLeader(again.log));
  expect(machine.words).to.deep.equal(['a', 'b', 'c']);
});

it('log: a restart after a snapshot has everything once', async () => {
  const options = {snapshotEntries: 5, keptEntries: 2};
  const {log} = await openOne(new Words(), options);
  await until(isLeader(log));
  const words = Array.from({length: 23}, (_, index) => `word-${index}`);
  for (const word of words) {
    await log.propose(word);
  }
  await until(() => names().includes('snapshot-saved'));
  await log.stop();
  const machine = new Words();
  const again = await openOne(machine, options);
  await until(isLeader(again.log));
  expect(machine.words).to.deep.equal(words);
});

it('log: without bootstrap an empty replica waits to be added', async () => {
  const {log} = await openOne(new Words(), {bootstrap: false});
  await until(() => names().includes('group-awaited'));
  expect(await codeOf(log.propose('a'))).to.equal('NOT_LEADER');
  expect(log.status()).to.include({role: 'learner', group: ''});
});

it('log: no group is formed while another replica does not answer', async () => {
  const peers = ['http://127.0.0.1:1', 'http://127.0.0.1:9'];
  const {log} = await openOne(new Words(), {peers});
  await until(() => names().includes('group-awaited'));
  expect(log.status().group).to.equal('');
});

it('log: no group is formed beside one that a replica belongs to', async () => {
  const {log: member, router} = await openOne(new Words());
  await until(isLeader(member));
  const server = http.createServer(
    createHTTPHandler({router, basePath: '/trpc/log/'}),
  );
  servers.push(server);
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const {log} = await openOne(new Words(), {
    folder: path.join(folder, 'other'),
    url: 'http://127.0.0.1:0',
    peers: ['http://127.0.0.1:0', `http://127.0.0.1:${port}`],
  });
  await until(() => names().includes('group-awaited'));
  expect(log.status().group).to.equal('');
});

it('log: a group below its minimum of copies refuses commands', async () => {
  const {log} = await openOne(new Words());
  await until(isLeader(log));
  await log.stop();
  const alone = await openOne(new Words(), {
    peers: ['http://127.0.0.1:1', 'http://127.0.0.1:8', 'http://127.0.0.1:9'],
  });
  await until(() => alone.log.status().role === 'leader');
  expect(await codeOf(alone.log.propose('a'))).to.equal('NO_QUORUM');
});

it('disk full: changes are refused, nothing is lost, it goes on with room', async () => {
  const files = new FailingFiles();
  const machine = new Words();
  const {log} = await openOne(machine, {files});
  await until(isLeader(log));
  await log.propose('before');
  files.writeError = 'ENOSPC';
  const open = log.propose('open');
  await until(() => names().includes('disk-full'));
  expect(await codeOf(log.propose('refused'))).to.equal('DISK_FULL');
  expect(log.status().diskFull).to.equal(true);
  expect(await codeOf(open)).to.equal('TIMEOUT');
  files.writeError = undefined;
  await until(() => names().includes('disk-has-room'));
  expect((await log.propose('after')).isOk).to.equal(true);
  expect(machine.words).to.deep.equal(['before', 'open', 'after']);
  expect(fatal).to.deep.equal([]);
});

it('failed sync: the process is told to end, and nothing is accepted', async () => {
  const files = new FailingFiles();
  const {log} = await openOne(new Words(), {files});
  await until(isLeader(log));
  files.syncError = 'EIO';
  expect(await codeOf(log.propose('a'))).to.equal('TIMEOUT');
  expect(fatal).to.have.length(1);
  expect(names()).to.include('log-write-failed');
});

it('corrupt data: the log does not open, and an event says why', async () => {
  const {log} = await openOne(new Words());
  await until(isLeader(log));
  await log.propose('a');
  await log.propose('b');
  await log.stop();
  const files = await readdir(path.join(folder, 'log'));
  const segment = files.find(file => file.startsWith('log-'))!;
  const file = path.join(folder, 'log', segment);
  const bytes = Buffer.from(await new NodeFileSystem().read(file));
  bytes[Math.floor(bytes.length / 2)] ^= 1;
  await writeFile(file, bytes);
  const opened = await openOne(new Words()).catch(
    (thrown: Fault) => thrown.code,
  );
  expect(opened).to.equal('CORRUPT_DATA');
  expect(names()).to.include('log-corrupt');
});
