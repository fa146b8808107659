import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  ControlClient,
  HeartbeatRelay,
  LoadReportServer,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {startLinkedControlGroup} from '@marigoldspur/linearizability-check';
import {openPartitionProxy} from '@marigoldspur/partition-proxy';
import {listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import {LOAD_REPORTS_PATH, type Member} from '@marigoldspur/messages';
import {readCpuMs} from './cpu-time.js';
import {
  createLoadReport,
  createTargetReport,
} from '@marigoldspur/report-fixtures';

/** Options of a measurement of relayed heartbeats. */
export interface RelayBenchOptions {
  readonly zones: number;
  /** Number of members in each zone, the relay included. */
  readonly membersPerZone: number;
  /** Share of the members whose report changes before each heartbeat, from 0 to 1. */
  readonly busy: number;
  /** Warm-up in milliseconds; before the code is JIT-compiled, heartbeats cost several times as much. */
  readonly warmUpMs: number;
}

/** Cost of relayed heartbeats for the leader. */
export interface RelayedHeartbeatCost {
  readonly members: number;
  readonly zones: number;
  readonly busy: number;
  /** Heartbeats that control accepted from relays, per second. */
  readonly heartbeatsPerSecond: number;
  /** Number of heartbeats without a receipt during the measurement. */
  readonly failures: number;
  /** Traffic between the relays and the leader in both directions, in bytes per second. */
  readonly bytesPerSecond: number;
  /** CPU time of the leader without members, in percent of a core. */
  readonly leaderIdlePercent: number;
  /** CPU time of the leader with members, in percent of a core. */
  readonly leaderPercent: number;
  /** CPU time of one relay, and of all other members of a zone together, in percent of a core. */
  readonly relayPercent: number;
  readonly zoneMembersPercent: number;
}

const SETTLE_MS = 5_000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const PERCENT = 100;
const LOOPBACK = '127.0.0.1';
const RESIDENT_ADAPTERS = ['a', 'b', 'c', 'd', 'e', 'f'].map(
  each => `recap-${each}@1`,
);

/** Options of the processes of a zone. */
export type ZoneOptions = Pick<RelayBenchOptions, 'membersPerZone' | 'busy'>;

/** Part of a zone that a process runs. */
export type ZonePart = 'relay' | 'members';

/** Counts that a process of a zone sends to the benchmark on request. */
interface ZoneCounts {
  /** Heartbeats that control accepted. */
  readonly taken: number;
  readonly failed: number;
  /** CPU time of the process, in milliseconds. */
  readonly cpuMs: number;
}

/** Measures relayed heartbeats at one control replica; each zone has one process for its relay and one for its other members. */
export async function measureRelayedHeartbeats(
  options: RelayBenchOptions,
): Promise<RelayedHeartbeatCost> {
  const group = await startLinkedControlGroup({replicas: 1});
  const link = await openPartitionProxy(
    Number(new URL(group.directUrls[0]).port),
  );
  const pid = group.child(0).process.pid!;
  await delay(SETTLE_MS);
  const leaderIdlePercent = await measureCpuPercent(
    () => readCpuMs(pid),
    MEASURE_MS / 2,
  );
  const url = `http://${LOOPBACK}:${link.port}`;
  const zones = Array.from({length: options.zones}, (_, zone) => zone);
  const relays = zones.map(zone => forkZone('relay', zone, url, options));
  const members = zones.map(zone => forkZone('members', zone, url, options));
  await delay(options.warmUpMs);
  const before = {
    relays: await sumCounts(relays),
    members: await sumCounts(members),
  };
  const start = {bytes: link.countBytes(), at: performance.now()};
  const leaderPercent = await measureCpuPercent(
    () => readCpuMs(pid),
    MEASURE_MS,
  );
  const after = {
    relays: await sumCounts(relays),
    members: await sumCounts(members),
  };
  const elapsedMs = performance.now() - start.at;
  const bytes = link.countBytes() - start.bytes;
  const computeCpuPercent = (part: 'relays' | 'members') =>
    (PERCENT * (after[part].cpuMs - before[part].cpuMs)) /
    elapsedMs /
    options.zones;
  const sumHeartbeats = (of: typeof before, name: 'taken' | 'failed') =>
    of.relays[name] + of.members[name];
  const taken = sumHeartbeats(after, 'taken') - sumHeartbeats(before, 'taken');
  [...relays, ...members].forEach(child => child.kill());
  await link.close();
  await group.stop();
  return {
    members: options.zones * options.membersPerZone,
    zones: options.zones,
    busy: options.busy,
    heartbeatsPerSecond: (taken * MS_PER_SECOND) / elapsedMs,
    failures: sumHeartbeats(after, 'failed') - sumHeartbeats(before, 'failed'),
    bytesPerSecond: (bytes * MS_PER_SECOND) / elapsedMs,
    leaderIdlePercent,
    leaderPercent,
    relayPercent: computeCpuPercent('relays'),
    zoneMembersPercent: computeCpuPercent('members'),
  };
}

/** Runs the relay or the other members of a zone and sends its counts to the parent process on request. */
export async function runZone(
  part: ZonePart,
  zone: number,
  url: string,
  options: ZoneOptions,
): Promise<void> {
  const counts = {taken: 0, failed: 0};
  process.on('message', () =>
    process.send!({...counts, cpuMs: readOwnCpuMs()} satisfies ZoneCounts),
  );
  process.on('disconnect', () => process.exit());
  const client = new ControlClient({urls: [url]});
  const startMemberHeartbeat = (member: () => Member) =>
    startHeartbeat(client, member, ({result}) => {
      counts.taken += result.isOk ? 1 : 0;
      counts.failed += result.isOk ? 0 : 1;
    });
  if (part === 'relay') {
    await startRelay(zone, client, startMemberHeartbeat);
  } else {
    await startMembers(zone, options, startMemberHeartbeat);
  }
}

function forkZone(
  part: ZonePart,
  zone: number,
  url: string,
  options: RelayBenchOptions,
): ChildProcess {
  const main = fileURLToPath(new URL('./main.js', import.meta.url));
  const args = [
    ...['--part', part, '--zone', String(zone), '--url', url],
    ...['--members', String(options.membersPerZone)],
    ...['--busy', String(options.busy)],
  ];
  return fork(main, ['zone', ...args]);
}

async function sumCounts(zones: readonly ChildProcess[]): Promise<ZoneCounts> {
  const counts = await Promise.all(
    zones.map(async zone => {
      const answer = once(zone, 'message');
      zone.send('counts');
      const [message] = (await answer) as [ZoneCounts];
      return message;
    }),
  );
  return counts.reduce((sum, each) => ({
    taken: sum.taken + each.taken,
    failed: sum.failed + each.failed,
    cpuMs: sum.cpuMs + each.cpuMs,
  }));
}

async function startRelay(
  zone: number,
  client: ControlClient,
  startMemberHeartbeat: (member: () => Member) => void,
): Promise<void> {
  const name = `zone-${zone}`;
  const id = `entry-${zone}`;
  const store = new LoadReportStore();
  const relay = new HeartbeatRelay(
    client,
    {id, boot: 'boot', zone: name},
    store,
  );
  const reports = new LoadReportServer(store);
  const server = http.createServer((request, response) => {
    if (request.url === LOAD_REPORTS_PATH) {
      reports.handle(request, response);
    } else {
      relay.handle(request, response);
    }
  });
  const address = await listen(server, {host: LOOPBACK, port: 0});
  const url = `http://${LOOPBACK}:${address.port}`;
  startMemberHeartbeat(() => ({...createMember(id, name), role: 'entry', url}));
}

async function startMembers(
  zone: number,
  options: ZoneOptions,
  startMemberHeartbeat: (member: () => Member) => void,
): Promise<void> {
  for (let index = 1; index < options.membersPerZone; index += 1) {
    const isBusy = index < options.busy * options.membersPerZone;
    // Distributes the heartbeats of a zone over a second, as if its processes had started at different times.
    await delay(MS_PER_SECOND / options.membersPerZone);
    startMemberHeartbeat(
      createAgentMember(`agent-${zone}-${index}`, `zone-${zone}`, isBusy),
    );
  }
}

function createMember(id: string, zone: string): Member {
  return {
    id,
    role: 'agent',
    zone,
    boot: 'boot',
    url: `http://${LOOPBACK}:1`,
    revision: 0,
    leaving: false,
  };
}

function createAgentMember(
  id: string,
  zone: string,
  isBusy: boolean,
): () => Member {
  let running = 0;
  return () => {
    running += isBusy ? 1 : 0;
    return {
      ...createMember(id, zone),
      target: createTargetReport({
        name: id,
        slots: RESIDENT_ADAPTERS.length,
        fence: 1,
        load: createLoadReport({resident: RESIDENT_ADAPTERS, running}),
      }),
    };
  };
}

function readOwnCpuMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

async function measureCpuPercent(
  readMs: () => number,
  periodMs: number,
): Promise<number> {
  const start = {at: performance.now(), cpu: readMs()};
  await delay(periodMs);
  return (PERCENT * (readMs() - start.cpu)) / (performance.now() - start.at);
}
