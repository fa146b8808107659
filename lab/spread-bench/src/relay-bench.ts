import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  ControlClient,
  HeartbeatRelay,
  LoadReportServer,
  startHeartbeat,
} from '@marigoldspur/control-client';
import {startControlGroup} from '@marigoldspur/control-history';
import {openCutLink} from '@marigoldspur/cut-link';
import {listen} from '@marigoldspur/http-link';
import {LoadReportStore} from '@marigoldspur/membership';
import {LOAD_REPORTS_PATH, type Member} from '@marigoldspur/messages';
import {cpuMsOf} from './cpu-time.js';
import {loadReport, targetReport} from '@marigoldspur/test-members';

/** What is measured. */
export interface RelayBenchOptions {
  readonly zones: number;
  /** Members of a zone, its relay included. */
  readonly membersPerZone: number;
  /** Share of the members whose report changes before each heartbeat, from 0 to 1. */
  readonly busy: number;
  /** Time before it is measured, in milliseconds: code that is not compiled yet costs several times as much. */
  readonly warmUpMs: number;
}

/** What heartbeats by relays cost the leader. */
export interface RelayedCost {
  readonly members: number;
  readonly zones: number;
  readonly busy: number;
  /** Heartbeats that control took, by way of the relays. */
  readonly heartbeatsPerSecond: number;
  /** Heartbeats that got no receipt while it was measured. */
  readonly failures: number;
  /** Between relays and leader, both ways. */
  readonly bytesPerSecond: number;
  /** Share of a core, in percent. */
  readonly leaderIdlePercent: number;
  readonly leaderPercent: number;
  /** A relay alone, and all members of a zone together. */
  readonly relayPercent: number;
  readonly zoneMembersPercent: number;
}

const SETTLE_MS = 5_000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const LOOPBACK = '127.0.0.1';
const RESIDENT = ['a', 'b', 'c', 'd', 'e', 'f'].map(each => `recap-${each}@1`);

/** What the processes of a zone need to know. */
export type ZoneOptions = Pick<RelayBenchOptions, 'membersPerZone' | 'busy'>;

/** What a process of a zone runs. */
export type ZonePart = 'relay' | 'members';

/** What a process of a zone tells the bench, on each request for it. */
interface ZoneCounts {
  readonly taken: number;
  readonly failed: number;
  readonly cpuMs: number;
}

/** Measures heartbeats at one replica; each zone is a process with its relay and one with its members. */
export async function measureRelayed(
  options: RelayBenchOptions,
): Promise<RelayedCost> {
  const group = await startControlGroup({replicas: 1});
  const link = await openCutLink(Number(new URL(group.directUrls[0]).port));
  const pid = group.child(0).process.pid!;
  await pause(SETTLE_MS);
  const idle = await percentOf(() => cpuMsOf(pid), MEASURE_MS / 2);
  const url = `http://${LOOPBACK}:${link.port}`;
  const zones = Array.from({length: options.zones}, (_, zone) => zone);
  const relays = zones.map(zone => forkZone('relay', zone, url, options));
  const members = zones.map(zone => forkZone('members', zone, url, options));
  await pause(options.warmUpMs);
  const before = {relays: await sumOf(relays), members: await sumOf(members)};
  const start = {bytes: link.bytes(), at: performance.now()};
  const leader = await percentOf(() => cpuMsOf(pid), MEASURE_MS);
  const after = {relays: await sumOf(relays), members: await sumOf(members)};
  const ms = performance.now() - start.at;
  const bytes = link.bytes() - start.bytes;
  const share = (part: 'relays' | 'members') =>
    (PERCENT * (after[part].cpuMs - before[part].cpuMs)) / ms / options.zones;
  const count = (of: typeof before, name: 'taken' | 'failed') =>
    of.relays[name] + of.members[name];
  const taken = count(after, 'taken') - count(before, 'taken');
  [...relays, ...members].forEach(child => child.kill());
  await link.close();
  await group.stop();
  return {
    members: options.zones * options.membersPerZone,
    zones: options.zones,
    busy: options.busy,
    heartbeatsPerSecond: (taken * MS_PER_SECOND) / ms,
    failures: count(after, 'failed') - count(before, 'failed'),
    bytesPerSecond: (bytes * MS_PER_SECOND) / ms,
    leaderIdlePercent: idle,
    leaderPercent: leader,
    relayPercent: share('relays'),
    zoneMembersPercent: share('members'),
  };
}

/** Runs the relay or the members of a zone; the process that started this one asks for its counts. */
export async function runZone(
  part: ZonePart,
  zone: number,
  url: string,
  options: ZoneOptions,
): Promise<void> {
  const counts = {taken: 0, failed: 0};
  process.on('message', () =>
    process.send!({...counts, cpuMs: ownCpuMs()} satisfies ZoneCounts),
  );
  process.on('disconnect', () => process.exit());
  const client = new ControlClient({urls: [url]});
  const start = (member: () => Member) =>
    startHeartbeat(client, member, ({result}) => {
      counts.taken += result.isOk ? 1 : 0;
      counts.failed += result.isOk ? 0 : 1;
    });
  if (part === 'relay') {
    await startRelay(zone, client, start);
  } else {
    await startMembers(zone, options, start);
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

async function sumOf(zones: readonly ChildProcess[]): Promise<ZoneCounts> {
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
  start: (member: () => Member) => void,
): Promise<void> {
  const name = `zone-${zone}`;
  const id = `entry-${zone}`;
  const board = new LoadReportStore();
  const relay = new HeartbeatRelay(
    client,
    {id, boot: 'boot', zone: name},
    board,
  );
  const reports = new LoadReportServer(board);
  const server = http.createServer((request, response) => {
    if (request.url === LOAD_REPORTS_PATH) {
      reports.handle(request, response);
    } else {
      relay.handle(request, response);
    }
  });
  const address = await listen(server, {host: LOOPBACK, port: 0});
  const url = `http://${LOOPBACK}:${address.port}`;
  start(() => ({...plainMember(id, name), role: 'entry', url}));
}

async function startMembers(
  zone: number,
  options: ZoneOptions,
  start: (member: () => Member) => void,
): Promise<void> {
  for (let index = 1; index < options.membersPerZone; index += 1) {
    const isBusy = index < options.busy * options.membersPerZone;
    // Heartbeats of a zone are spread over a second, as of processes that start apart.
    await pause(MS_PER_SECOND / options.membersPerZone);
    start(agentMember(`agent-${zone}-${index}`, `zone-${zone}`, isBusy));
  }
}

function plainMember(id: string, zone: string): Member {
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

function agentMember(id: string, zone: string, isBusy: boolean): () => Member {
  let running = 0;
  return () => {
    running += isBusy ? 1 : 0;
    return {
      ...plainMember(id, zone),
      target: targetReport({
        name: id,
        slots: RESIDENT.length,
        fence: 1,
        load: loadReport({resident: RESIDENT, running}),
      }),
    };
  };
}

function ownCpuMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / MS_PER_SECOND;
}

async function percentOf(
  cpuMs: () => number,
  periodMs: number,
): Promise<number> {
  const start = {at: performance.now(), cpu: cpuMs()};
  await pause(periodMs);
  return (PERCENT * (cpuMs() - start.cpu)) / (performance.now() - start.at);
}
