import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {ControlGroup, type ControlHost} from './control-group.js';

/** What one idle replica costs. */
export interface IdleCost {
  readonly role: string;
  /** Processor time, as a share of one core in percent. */
  readonly corePercent: number;
  readonly residentMegabytes: number;
  /** Bytes to and from the other replicas, with HTTP's headers. */
  readonly bytesPerSecond: number;
  /** HTTP requests and answers to and from the other replicas. */
  readonly messagesPerSecond: number;
}

interface Sample {
  readonly at: number;
  readonly cpuSeconds: number;
  readonly bytes: number;
  readonly pieces: number;
}

const SETTLE_MS = 5_000;
const MEASURE_MS = 20_000;
/** Clock ticks of /proc a second on Linux. */
const TICKS_PER_SECOND = 100;
const UTIME_FIELD = 11;
const BYTES_PER_MEGABYTE = 1_048_576;
const KILOBYTE = 1_024;

/** Measures what each replica costs while nothing is asked of it. */
export async function measureIdle(replicas: number): Promise<IdleCost[]> {
  const group = await ControlGroup.start({
    count: replicas,
    flags: ['--log-level', 'warn'],
  });
  await delay(SETTLE_MS);
  const before = await Promise.all(
    group.hosts.map(host => sample(group, host)),
  );
  await delay(MEASURE_MS);
  const after = await Promise.all(group.hosts.map(host => sample(group, host)));
  const costs: IdleCost[] = [];
  for (const [index, host] of group.hosts.entries()) {
    const first = before[index];
    const last = after[index];
    const seconds = (last.at - first.at) / 1_000;
    costs.push({
      role: (await group.status(host))?.role ?? 'unknown',
      corePercent: round(
        ((last.cpuSeconds - first.cpuSeconds) / seconds) * 100,
      ),
      residentMegabytes: round(
        (await residentBytes(host)) / BYTES_PER_MEGABYTE,
      ),
      bytesPerSecond: Math.round((last.bytes - first.bytes) / seconds),
      messagesPerSecond: round((last.pieces - first.pieces) / seconds),
    });
  }
  await group.stop();
  return costs;
}

async function sample(group: ControlGroup, host: ControlHost): Promise<Sample> {
  const links = group.hosts.flatMap(other =>
    [...other.links]
      .filter(([to]) => other === host || to === host.index)
      .map(([, link]) => link),
  );
  return {
    at: performance.now(),
    cpuSeconds: await cpuSeconds(host),
    bytes: links.reduce((sum, link) => sum + link.bytes(), 0),
    pieces: links.reduce((sum, link) => sum + link.pieces(), 0),
  };
}

async function cpuSeconds(host: ControlHost): Promise<number> {
  const stat = await readFile(`/proc/${host.child?.process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
  return ticks / TICKS_PER_SECOND;
}

async function residentBytes(host: ControlHost): Promise<number> {
  const file = `/proc/${host.child?.process.pid}/status`;
  const status = await readFile(file, 'utf8');
  const match = /VmRSS:\s+(\d+) kB/.exec(status);
  return Number(match?.[1] ?? 0) * KILOBYTE;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
