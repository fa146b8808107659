import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {
  LoadReportServer,
  RegionLoadFollower,
} from '@marigoldspur/control-client';
import {listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import type {LoadReport, Member} from '@marigoldspur/messages';

/** Options of a measurement of load reports. */
export interface LoadReportBenchOptions {
  /** Number of agents in the zone; each has a new report every 500 ms. */
  readonly agents: number;
  /** Number of entries that follow the reports. */
  readonly followers: number;
  /** Rate limit of the relay for all streams together, in bytes per second. */
  readonly bytesPerSecond: number;
}

/** Cost of streams of load reports for a relay. */
export interface LoadReportCost extends LoadReportBenchOptions {
  /** Compressed bytes per second of all streams, chunk headers included. */
  readonly sentBytesPerSecond: number;
  /** Median and longest age of a report at an entry, in milliseconds. */
  readonly medianAgeMs: number;
  readonly longestAgeMs: number;
}

const LOOPBACK = '127.0.0.1';
const REPORT_INTERVAL_MS = 500;
const SAMPLE_INTERVAL_MS = 50;
const SETTLE_MS = 5_000;
const MEASURE_MS = 15_000;
const MS_PER_SECOND = 1_000;
const SLOTS_PER_ENGINE = 6;
/** Reports of an agent between two loads of adapters. */
const REPORTS_PER_LOAD = 3;
const ADAPTER_COUNT = 36_000;
/** Scatters the adapter names and the numbers of running requests, so that their order carries no information. */
const SCATTER_STRIDE = 7_919;

/** Measures the streams of one relay; each report carries its round number in `waiting`, from which its age is computed. */
export async function measureLoadReports(
  options: LoadReportBenchOptions,
): Promise<LoadReportCost> {
  const store = new LoadReportStore();
  const reportServer = new LoadReportServer(store, options);
  const server = http.createServer((request, response) =>
    reportServer.handle(request, response),
  );
  const sockets: Array<{readonly bytesWritten: number}> = [];
  server.on('connection', socket => sockets.push(socket));
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  const relay = createMember('entry-0', 'entry', `http://${LOOPBACK}:${port}`);
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
  const reportTimer = setInterval(() => {
    round += 1;
    for (let index = 0; index < options.agents; index += 1) {
      const load = createReport(index, round);
      store.put({id: `agent-${index}`, boot: 'boot', load});
    }
  }, REPORT_INTERVAL_MS);
  await delay(SETTLE_MS);
  const countSentBytes = () =>
    sockets.reduce((sum, each) => sum + each.bytesWritten, 0);
  const bytesBefore = countSentBytes();
  const ages: number[] = [];
  for (let at = 0; at < MEASURE_MS; at += SAMPLE_INTERVAL_MS) {
    await delay(SAMPLE_INTERVAL_MS);
    const report = followers[0].loadOf(
      createMember('agent-0', 'agent', relay.url),
    );
    ages.push((round - (report?.waiting ?? 0)) * REPORT_INTERVAL_MS);
  }
  const sent = countSentBytes() - bytesBefore;
  clearInterval(reportTimer);
  followers.forEach(follower => follower.stop());
  reportServer.stop();
  server.close();
  ages.sort((a, b) => a - b);
  return {
    ...options,
    sentBytesPerSecond: (sent * MS_PER_SECOND) / MEASURE_MS,
    medianAgeMs: ages[Math.floor(ages.length / 2)],
    longestAgeMs: ages[ages.length - 1],
  };
}

/** Creates the report of a busy engine: its pins change with each report, one of its adapters with every third report. */
function createReport(index: number, round: number): LoadReport {
  const loads = Math.floor((round + index) / REPORTS_PER_LOAD);
  const resident = Array.from({length: SLOTS_PER_ENGINE}, (_, slot) => {
    const generation = Math.floor((loads + slot) / SLOTS_PER_ENGINE);
    const seed =
      (index * SLOTS_PER_ENGINE + slot + generation * ADAPTER_COUNT) *
      SCATTER_STRIDE;
    return `recap-${seed % ADAPTER_COUNT}@v1`;
  });
  const pinned = resident.filter((_, slot) => (round + index + slot) % 3 > 0);
  const running = (round * SCATTER_STRIDE + index) % 16;
  return {resident, pinned, loading: [], running, waiting: round};
}

function createMember(id: string, role: Member['role'], url: string): Member {
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
