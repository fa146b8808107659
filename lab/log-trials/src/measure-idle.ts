import {readFile} from 'node:fs/promises';
import {setTimeout as delay} from 'node:timers/promises';
import {ControlHostGroup, type ControlHost} from './control-host-group.js';

/** Resource usage of one idle replica. */
export interface IdleCost {
  readonly role: string;
  /** CPU time in percent of one core. */
  readonly corePercent: number;
  readonly residentMegabytes: number;
  /** Bytes to and from the other replicas, HTTP headers included. */
  readonly bytesPerSecond: number;
  /** HTTP requests and responses to and from the other replicas. */
  readonly messagesPerSecond: number;
}

interface Sample {
  readonly at: number;
  readonly cpuSeconds: number;
  readonly bytes: number;
  readonly chunks: number;
}

const SETTLE_MS = 5_000;
const MEASURE_MS = 20_000;
/** Clock ticks of `/proc` per second on Linux. */
const TICKS_PER_SECOND = 100;
/** Index of `utime` among the fields after the command name (proc(5), field 14); `stime` is next. */
const UTIME_FIELD = 11;
const BYTES_PER_MEGABYTE = 1_048_576;
const BYTES_PER_KILOBYTE = 1_024;

/** Measures the resource usage of each replica without requests. */
export async function measureIdle(replicas: number): Promise<IdleCost[]> {
  const group = await ControlHostGroup.start({
    replicas,
    flags: ['--log-level', 'warn'],
  });
  await delay(SETTLE_MS);
  const before = await Promise.all(
    group.hosts.map(host => takeSample(group, host)),
  );
  await delay(MEASURE_MS);
  const after = await Promise.all(
    group.hosts.map(host => takeSample(group, host)),
  );
  const costs: IdleCost[] = [];
  for (const [index, host] of group.hosts.entries()) {
    const first = before[index];
    const last = after[index];
    const seconds = (last.at - first.at) / 1_000;
    costs.push({
      role: (await group.fetchStatus(host))?.role ?? 'unknown',
      corePercent: roundToTenths(
        ((last.cpuSeconds - first.cpuSeconds) / seconds) * 100,
      ),
      residentMegabytes: roundToTenths(
        (await readResidentBytes(host)) / BYTES_PER_MEGABYTE,
      ),
      bytesPerSecond: Math.round((last.bytes - first.bytes) / seconds),
      messagesPerSecond: roundToTenths((last.chunks - first.chunks) / seconds),
    });
  }
  await group.stop();
  return costs;
}

async function takeSample(
  group: ControlHostGroup,
  host: ControlHost,
): Promise<Sample> {
  const links = group.hosts.flatMap(other =>
    [...other.links]
      .filter(([to]) => other === host || to === host.index)
      .map(([, link]) => link),
  );
  return {
    at: performance.now(),
    cpuSeconds: await readCpuSeconds(host),
    bytes: links.reduce((sum, link) => sum + link.countBytes(), 0),
    chunks: links.reduce((sum, link) => sum + link.countChunks(), 0),
  };
}

async function readCpuSeconds(host: ControlHost): Promise<number> {
  const stat = await readFile(`/proc/${host.child?.process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[UTIME_FIELD + 1]);
  return ticks / TICKS_PER_SECOND;
}

async function readResidentBytes(host: ControlHost): Promise<number> {
  const file = `/proc/${host.child?.process.pid}/status`;
  const status = await readFile(file, 'utf8');
  const match = /VmRSS:\s+(\d+) kB/.exec(status);
  return Number(match?.[1] ?? 0) * BYTES_PER_KILOBYTE;
}

function roundToTenths(value: number): number {
  return Math.round(value * 10) / 10;
}
