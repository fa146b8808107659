import http from 'node:http';
import {expect} from 'chai';
import {
  LoadReportServer,
  RegionLoadFollower,
} from '@marigoldspur/control-client';
import {closeServer, listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import type {Member} from '@marigoldspur/messages';
import {loadReport, targetReport} from '@marigoldspur/test-members';
import {ByteRateLimiter} from '../src/byte-rate-limiter.js';
import {followLoadReports} from '../src/load-report-stream.js';

const LOOPBACK = '127.0.0.1';
const ends: Array<() => unknown> = [];

afterEach(async () => {
  await Promise.all(ends.splice(0).map(end => end()));
});

/** A relay whose streams the test can break. */
async function relay(board: LoadReportStore, bytesPerSecond?: number) {
  const reports = new LoadReportServer(board, {bytesPerSecond});
  let opened = 0;
  const server = http.createServer((request, response) => {
    opened += 1;
    reports.handle(request, response);
  });
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  ends.push(() => {
    reports.stop();
    server.closeAllConnections();
    return closeServer(server);
  });
  const url = `http://${LOOPBACK}:${port}`;
  return {reports, url, opened: () => opened};
}

function entry(url: string): Member {
  return {
    id: 'entry-0',
    role: 'entry',
    zone: 'lima-a',
    region: 'lima',
    boot: 'boot',
    url,
    revision: 0,
    leaving: false,
  };
}

function agent(id: string): Member {
  const target = targetReport({load: undefined});
  return {...entry('http://127.0.0.1:1'), id, role: 'agent', target};
}

function follow(members: readonly Member[]): RegionLoadFollower {
  const agentOf = new http.Agent();
  const loads = new RegionLoadFollower({
    members: () => members,
    region: 'lima',
    agent: agentOf,
  });
  loads.start();
  ends.push(() => {
    loads.stop();
    agentOf.destroy();
  });
  return loads;
}

/** Waits until a condition holds; the test's own time limit ends it. */
async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

function put(board: LoadReportStore, id: string, running: number): void {
  board.put({id, boot: 'boot', load: loadReport({running})});
}

it('load reports: an entry has those that the relays of its region hear', async () => {
  const board = new LoadReportStore();
  put(board, 'a', 1);
  const {url} = await relay(board);
  const loads = follow([entry(url)]);
  await until(() => loads.loadOf(agent('a'))?.running === 1);
  put(board, 'a', 2);
  put(board, 'b', 3);
  await until(() => loads.loadOf(agent('b'))?.running === 3);
  expect(loads.loadOf(agent('a'))?.running).to.equal(2);
  board.remove('a');
  await until(() => loads.loadOf(agent('a')) === undefined);
});

it('load reports: a stream that breaks is opened again, whole', async () => {
  const board = new LoadReportStore();
  put(board, 'a', 1);
  put(board, 'b', 1);
  const {reports, url} = await relay(board);
  const loads = follow([entry(url)]);
  await until(() => loads.loadOf(agent('a')) !== undefined);
  reports.stop();
  board.remove('b');
  put(board, 'a', 2);
  await until(() => loads.loadOf(agent('a'))?.running === 2);
  expect(loads.loadOf(agent('b'))).to.equal(undefined);
});

it('load reports: zones of other regions are not followed', async () => {
  const {url, opened} = await relay(new LoadReportStore());
  const other = await relay(new LoadReportStore());
  const foreign = {...entry(other.url), zone: 'lakes-a', region: 'lakes'};
  const loads = follow([foreign, entry(url)]);
  await until(() => opened() === 1);
  expect(other.opened()).to.equal(0);
  expect(loads.isInRegion({...agent('a'), zone: 'lakes-a'})).to.equal(false);
  expect(loads.isInRegion(agent('a'))).to.equal(true);
});

it('load reports: over its budget a relay tells no changes, and keeps the stream', async () => {
  const board = new LoadReportStore();
  put(board, 'a', 1);
  const {url} = await relay(board, 1);
  const told: number[] = [];
  const stop = new AbortController();
  const agentOf = new http.Agent();
  ends.push(() => agentOf.destroy());
  await followLoadReports({
    url,
    agent: agentOf,
    signal: stop.signal,
    onChanges: ({changed}) => {
      told.push(changed.length);
      put(board, 'a', told.length);
      if (told.length === 4) {
        stop.abort();
      }
    },
  });
  expect(told).to.deep.equal([1, 0, 0, 0]);
});

it('byte budget: what was spent comes back with time', () => {
  const budget = new ByteRateLimiter(1_000);
  expect(budget.canSend(0)).to.equal(true);
  budget.recordSent(3_000);
  expect(budget.canSend(1_000)).to.equal(false);
  expect(budget.canSend(2_000)).to.equal(false);
  expect(budget.canSend(2_001)).to.equal(true);
  budget.canSend(60_000);
  budget.recordSent(1_000);
  expect(budget.canSend(60_000)).to.equal(false);
});
