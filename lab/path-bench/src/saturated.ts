import type {System} from '@marigoldspur/lab';
import {callRound, type Round} from './call-round.js';
import {
  cpuMicrosDuring,
  processCost,
  processUrls,
  type ProcessUrls,
} from './process-cost.js';
import {comparison, costLines, print} from './report-lines.js';

const CALLERS = [1, 16, 128];
const CALLS = {1: 1_500, 16: 8_000, 128: 8_000} as Record<number, number>;
const WARM_UP_CALLS = 4_000;
const WARM_UP_CALLERS = 16;

/** Measures callers that each send one call after another, with start times and memory. */
export async function measureSaturated(system: System): Promise<void> {
  const urls = await processUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  await printStarts(system);
  await printMemory('idle', urls);
  await warmUp(entryUrl);
  await warmUp(engineUrl);
  for (const callers of CALLERS) {
    const calls = CALLS[callers];
    const round = (url: string) => callRound({url, callers, calls});
    const direct = await round(engineUrl);
    let path: Round | undefined;
    const cpu = await cpuMicrosDuring(urls, async () => {
      path = await round(entryUrl);
    });
    print(comparison(`${callers} callers`, direct, path!));
    print(costLines(cpu, calls, 'request'));
  }
  await printMemory('after the load', urls);
}

/** Sends calls until the code that serves them is compiled and the adapter loaded. */
export async function warmUp(url: string): Promise<void> {
  await callRound({
    url,
    callers: WARM_UP_CALLERS,
    calls: WARM_UP_CALLS,
  });
}

/** Prints the time from the start of each program until it serves. */
async function printStarts(system: System): Promise<void> {
  const [control] = system.controls;
  const [entry] = system.entries;
  const [{agent}] = system.targets;
  for (const child of [control, entry, agent]) {
    const line = await child.line(text => text.includes('"process-started"'));
    const {time} = JSON.parse(line) as {time: number};
    print(`${child.name} served ${time - child.spawnedAt} ms after its start`);
  }
}

async function printMemory(when: string, urls: ProcessUrls): Promise<void> {
  for (const [name, url] of urls) {
    const {residentMegabytes} = await processCost(url);
    print(`${name} ${when}: ${Math.round(residentMegabytes)} MB resident`);
  }
}
