import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  LoadReportServer,
  RegionLoadFollower,
} from '@marigoldspur/control-client';
import {listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import type {LoadReport, Member} from '@marigoldspur/messages';

/** What is measured. */
export interface LoadReportOptions {
  /** Agents of a zone, all with a new report each 500 ms. */
  readonly agents: number;
  /** Entries that follow the reports. */
  readonly followers: number;
  readonly bytesPerSecond: number;
}

/** What a stream of load reports costs a relay. */
export interface LoadReportCost extends LoadReportOptions {
  /** Of all streams, compressed, with the headers of their pieces. */
  readonly sentBytesPerSecond: number;
  /** Median and longest time from a report to an entry, in milliseconds. */
  readonly medianAgeMs: number;
  readonly longestAgeMs: number;
}

const LOOPBACK = '127.0.0.1';
const CHANGE_MS = 500;
const SAMPLE_MS = 50;
const SETTLE_MS = 5_000;
const MEASURE_MS = 15_000;
const MS_PER_SECOND = 1_000;
const SLOTS = 6;
/** Changes of an agent between two loads. */
const CHANGES_PER_LOAD = 3;
const ADAPTERS = 36_000;
/** Spreads names over the adapters, so that the order tells nothing. */
const STRIDE = 7_919;

/** Measures the streams of one relay; each report says when it was made. */
export async function measureLoadReports(
  options: LoadReportOptions,
): Promise<LoadReportCost> {
  const board = new LoadReportStore();
  const reports = new LoadReportServer(board, options);
  const server = http.createServer((request, response) =>
    reports.handle(request, response),
  );
  const sockets: Array<{readonly bytesWritten: number}> = [];
  server.on('connection', socket => sockets.push(socket));
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  const relay = member('entry-0', 'entry', `http://${LOOPBACK}:${port}`);
  const followers = Array.from({length: options.followers}, () => {
    const agent = new http.Agent();
    return new RegionLoadFollower({
      members: () => [relay],
      region: 'lima',
      agent,
    });
  });
  followers.forEach(follower => follower.start());
  let round = 0;
  const changes = setInterval(() => {
    round += 1;
    for (let index = 0; index < options.agents; index += 1) {
      const load = reportOf(index, round);
      board.put({id: `agent-${index}`, boot: 'boot', load});
    }
  }, CHANGE_MS);
  await pause(SETTLE_MS);
  const bytes = () => sockets.reduce((sum, each) => sum + each.bytesWritten, 0);
  const start = bytes();
  const ages: number[] = [];
  for (let at = 0; at < MEASURE_MS; at += SAMPLE_MS) {
    await pause(SAMPLE_MS);
    const seen = followers[0].loadOf(member('agent-0', 'agent', relay.url));
    ages.push((round - (seen?.waiting ?? 0)) * CHANGE_MS);
  }
  const sent = bytes() - start;
  clearInterval(changes);
  followers.forEach(follower => follower.stop());
  reports.stop();
  server.close();
  ages.sort((a, b) => a - b);
  return {
    ...options,
    sentBytesPerSecond: (sent * MS_PER_SECOND) / MEASURE_MS,
    medianAgeMs: ages[Math.floor(ages.length / 2)],
    longestAgeMs: ages[ages.length - 1],
  };
}

/** A busy engine: its pins change each time, and an adapter each third. */
function reportOf(index: number, round: number): LoadReport {
  const loads = Math.floor((round + index) / CHANGES_PER_LOAD);
  const resident = Array.from({length: SLOTS}, (_, slot) => {
    const generation = Math.floor((loads + slot) / SLOTS);
    const seed = (index * SLOTS + slot + generation * ADAPTERS) * STRIDE;
    return `recap-${seed % ADAPTERS}@v1`;
  });
  const pinned = resident.filter((_, slot) => (round + index + slot) % 3 > 0);
  const running = (round * STRIDE + index) % 16;
  return {resident, pinned, loading: [], running, waiting: round};
}

function member(id: string, role: Member['role'], url: string): Member {
  return {
    id,
    role,
    zone: 'lima-a',
    region: 'lima',
    boot: 'boot',
    url,
    revision: 0,
    leaving: false,
  };
}
