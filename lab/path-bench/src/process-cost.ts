import type {System} from '@marigoldspur/lab';

/** Resource usage of a process since its start. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentMegabytes: number;
}

/** Base URL of one process of a system for each role. */
export type ProcessUrls = ReadonlyMap<string, string>;

const BYTES_PER_MEGABYTE = 1_048_576;
const MICROS_PER_SECOND = 1_000_000;

/** Finds the base URL of one process of each role. */
export async function findProcessUrls(system: System): Promise<ProcessUrls> {
  const members = await system.session.listMembers();
  const urls = new Map([['control', system.controlUrls[0]]]);
  if (members.isOk) {
    members.value.forEach(member => urls.set(member.role, member.url));
  }
  return urls;
}

/** Reads the resource usage of a process from its metrics endpoint. */
export async function readProcessUsage(url: string): Promise<ProcessUsage> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const readMetric = (name: string) => {
    const line = text.split('\n').find(sample => sample.startsWith(`${name}{`));
    return Number(line?.split(' ').at(-1));
  };
  return {
    cpuSeconds: readMetric('process_cpu_seconds_total'),
    residentMegabytes:
      readMetric('process_resident_memory_bytes') / BYTES_PER_MEGABYTE,
  };
}

/** Measures the CPU time that each process uses while `work` runs, in microseconds, by role. */
export async function measureCpuMicros(
  urls: ProcessUrls,
  work: () => Promise<void>,
): Promise<Map<string, number>> {
  const before = await readCpuSeconds(urls);
  await work();
  const after = await readCpuSeconds(urls);
  return new Map(
    [...after].map(([name, seconds]) => [
      name,
      (seconds - (before.get(name) ?? 0)) * MICROS_PER_SECOND,
    ]),
  );
}

async function readCpuSeconds(urls: ProcessUrls): Promise<Map<string, number>> {
  const seconds = new Map<string, number>();
  for (const [name, url] of urls) {
    seconds.set(name, (await readProcessUsage(url)).cpuSeconds);
  }
  return seconds;
}
