import http from 'node:http';
import {expect} from 'chai';
import {
  LoadReportServer,
  RegionLoadFollower,
} from '@marigoldspur/control-client';
import {closeServer, listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import type {Member} from '@marigoldspur/messages';
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';
import {ByteRateLimiter} from '../src/byte-rate-limiter.js';
import {followLoadReports} from '../src/load-report-stream.js';

const LOOPBACK = '127.0.0.1';
const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
});

/** Starts a relay whose streams the test can break. */
async function startRelay(store: LoadReportStore, bytesPerSecond?: number) {
  const reports = new LoadReportServer(store, {bytesPerSecond});
  let opened = 0;
  const server = http.createServer((request, response) => {
    opened += 1;
    reports.handle(request, response);
  });
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  cleanups.push(() => {
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
  const target = createTargetReport({load: undefined});
  return {...entry('http://127.0.0.1:1'), id, role: 'agent', target};
}

function follow(members: readonly Member[]): RegionLoadFollower {
  const connections = new http.Agent();
  const follower = new RegionLoadFollower({
    members: () => members,
    region: 'lima',
    agent: connections,
  });
  follower.start();
  cleanups.push(() => {
    follower.stop();
    connections.destroy();
  });
  return follower;
}

/** Waits until a condition holds; the timeout of the test ends the wait. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

function put(store: LoadReportStore, id: string, running: number): void {
  store.put({id, boot: 'boot', load: createLoadReport({running})});
}

it('load reports: an entry receives the reports of the relays of its region', async () => {
  const store = new LoadReportStore();
  put(store, 'a', 1);
  const {url} = await startRelay(store);
  const follower = follow([entry(url)]);
  await waitUntil(() => follower.loadOf(agent('a'))?.running === 1);
  put(store, 'a', 2);
  put(store, 'b', 3);
  await waitUntil(() => follower.loadOf(agent('b'))?.running === 3);
  expect(follower.loadOf(agent('a'))?.running).to.equal(2);
  store.remove('a');
  await waitUntil(() => follower.loadOf(agent('a')) === undefined);
});

it('load reports: a broken stream is reopened and all reports are sent again', async () => {
  const store = new LoadReportStore();
  put(store, 'a', 1);
  put(store, 'b', 1);
  const {reports, url} = await startRelay(store);
  const follower = follow([entry(url)]);
  await waitUntil(() => follower.loadOf(agent('a')) !== undefined);
  reports.stop();
  store.remove('b');
  put(store, 'a', 2);
  await waitUntil(() => follower.loadOf(agent('a'))?.running === 2);
  expect(follower.loadOf(agent('b'))).to.equal(undefined);
});

it('load reports: zones of other regions are not followed', async () => {
  const {url, opened} = await startRelay(new LoadReportStore());
  const other = await startRelay(new LoadReportStore());
  const foreign = {...entry(other.url), zone: 'lakes-a', region: 'lakes'};
  const follower = follow([foreign, entry(url)]);
  await waitUntil(() => opened() === 1);
  expect(other.opened()).to.equal(0);
  expect(follower.isInRegion({...agent('a'), zone: 'lakes-a'})).to.equal(false);
  expect(follower.isInRegion(agent('a'))).to.equal(true);
});

it('load reports: a relay over its rate limit sends no changes but keeps the stream alive', async () => {
  const store = new LoadReportStore();
  put(store, 'a', 1);
  const {url} = await startRelay(store, 1);
  const changeCounts: number[] = [];
  const stop = new AbortController();
  const connections = new http.Agent();
  cleanups.push(() => connections.destroy());
  await followLoadReports({
    url,
    agent: connections,
    signal: stop.signal,
    onChanges: ({changed}) => {
      changeCounts.push(changed.length);
      put(store, 'a', changeCounts.length);
      if (changeCounts.length === 4) {
        stop.abort();
      }
    },
  });
  expect(changeCounts).to.deep.equal([1, 0, 0, 0]);
});

it('byte rate limiter: sent bytes are refilled over time', () => {
  const limiter = new ByteRateLimiter(1_000);
  expect(limiter.canSend(0)).to.equal(true);
  limiter.recordSent(3_000);
  expect(limiter.canSend(1_000)).to.equal(false);
  expect(limiter.canSend(2_000)).to.equal(false);
  expect(limiter.canSend(2_001)).to.equal(true);
  limiter.canSend(60_000);
  limiter.recordSent(1_000);
  expect(limiter.canSend(60_000)).to.equal(false);
});
