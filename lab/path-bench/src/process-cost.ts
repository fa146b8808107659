/** What a process has used so far. */
export interface ProcessCost {
  readonly cpuSeconds: number;
  readonly residentMegabytes: number;
}

const BYTES_PER_MEGABYTE = 1_048_576;

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
