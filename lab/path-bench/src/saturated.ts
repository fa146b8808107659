import type {System} from '@marigoldspur/lab';
import {runCallRound, type CallRoundResult} from './call-round.js';
import {
  measureCpuMicros,
  readProcessUsage,
  findProcessUrls,
  type ProcessUrls,
} from './process-cost.js';
import {formatComparison, formatCpuCosts, printLines} from './report-lines.js';

const CALLER_COUNTS = [1, 16, 128];
const CALLS_BY_CALLER_COUNT = {1: 1_500, 16: 8_000, 128: 8_000} as Record<
  number,
  number
>;
const WARM_UP_CALL_COUNT = 4_000;
const WARM_UP_CALLER_COUNT = 16;

/**
 * Measures callers that each send the next call as soon as the last one ends, and prints
 * startup times and memory.
 */
export async function measureSaturated(system: System): Promise<void> {
  const urls = await findProcessUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  await printStartupTimes(system);
  await printMemory('idle', urls);
  await warmUp(entryUrl);
  await warmUp(engineUrl);
  for (const callers of CALLER_COUNTS) {
    const calls = CALLS_BY_CALLER_COUNT[callers];
    const runRound = (url: string) =>
      runCallRound({url, callerCount: callers, callCount: calls});
    const direct = await runRound(engineUrl);
    let path: CallRoundResult | undefined;
    const cpu = await measureCpuMicros(urls, async () => {
      path = await runRound(entryUrl);
    });
    printLines(formatComparison(`${callers} callers`, direct, path!));
    printLines(formatCpuCosts(cpu, calls, 'request'));
  }
  await printMemory('after the load', urls);
}

/**
 * Sends calls so that the adapter is loaded and the code is JIT-compiled before the
 * measurement.
 */
export async function warmUp(url: string): Promise<void> {
  await runCallRound({
    url,
    callerCount: WARM_UP_CALLER_COUNT,
    callCount: WARM_UP_CALL_COUNT,
  });
}

/** Prints the startup time of each program. */
async function printStartupTimes(system: System): Promise<void> {
  const [control] = system.controls;
  const [entry] = system.entries;
  const [{agent}] = system.targets;
  for (const child of [control, entry, agent]) {
    const line = await child.waitForLine(text =>
      text.includes('"process-started"'),
    );
    const {time} = JSON.parse(line) as {time: number};
    printLines(
      `${child.name} was ready ${time - child.spawnedAt} ms after it was spawned`,
    );
  }
}

async function printMemory(when: string, urls: ProcessUrls): Promise<void> {
  for (const [name, url] of urls) {
    const {residentMegabytes} = await readProcessUsage(url);
    printLines(`${name} ${when}: ${Math.round(residentMegabytes)} MB resident`);
  }
}
