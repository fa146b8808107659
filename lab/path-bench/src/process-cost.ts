import type {System} from '@marigoldspur/lab';

/** What a process has used so far. */
export interface ProcessCost {
  readonly cpuSeconds: number;
  readonly residentMegabytes: number;
}

/** Processes of a system by what they are, with their base URLs. */
export type ProcessUrls = ReadonlyMap<string, string>;

const BYTES_PER_MEGABYTE = 1_048_576;
const MICROS_PER_SECOND = 1_000_000;

/** Finds the first process of each role. */
export async function processUrls(system: System): Promise<ProcessUrls> {
  const members = await system.session.members();
  const urls = new Map([['control', system.controlUrls[0]]]);
  if (members.isOk) {
    members.value.forEach(member => urls.set(member.role, member.url));
  }
  return urls;
}

/** Reads what a process has used from its metrics page. */
export async function processCost(url: string): Promise<ProcessCost> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const value = (name: string) => {
    const line = text.split('\n').find(each => each.startsWith(`${name}{`));
    return Number(line?.split(' ').at(-1));
  };
  return {
    cpuSeconds: value('process_cpu_seconds_total'),
    residentMegabytes:
      value('process_resident_memory_bytes') / BYTES_PER_MEGABYTE,
  };
}

/** CPU time that each process used during some work, in microseconds. */
export async function cpuMicrosDuring(
  urls: ProcessUrls,
  work: () => Promise<void>,
): Promise<Map<string, number>> {
  const before = await cpuOf(urls);
  await work();
  const after = await cpuOf(urls);
  return new Map(
    [...after].map(([name, seconds]) => [
      name,
      (seconds - (before.get(name) ?? 0)) * MICROS_PER_SECOND,
    ]),
  );
}

async function cpuOf(urls: ProcessUrls): Promise<Map<string, number>> {
  const seconds = new Map<string, number>();
  for (const [name, url] of urls) {
    seconds.set(name, (await processCost(url)).cpuSeconds);
  }
  return seconds;
}
