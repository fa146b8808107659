import {loadavg} from 'node:os';
import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';
import {callRound, type Round} from './call-round.js';
import {processCost} from './process-cost.js';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;
const CALLERS = [1, 16, 128];
const CALLS = {1: 1_500, 16: 8_000, 128: 8_000} as Record<number, number>;
const WARM_UP_CALLS = 4_000;
const WARM_UP_CALLERS = 16;
const MODEL = 'callao-0@v1';
const ADAPTERS = 3_000;
const MICROS_PER_SECOND = 1_000_000;

const system = await startSystem({
  deployments: [DEPLOYMENT],
  tree: deploymentTree([DEPLOYMENT], ADAPTERS),
  controls: 1,
  entries: 1,
  firstTokenMs: 0,
  tokenMs: 0,
  batchLimit: 1_024,
  logLevel: 'info',
});
try {
  await system.settled();
  await measure(system);
} finally {
  await system.stop();
}

async function measure(running: System): Promise<void> {
  const urls = await processUrls(running);
  const [entryUrl] = running.entryUrls;
  const [{url: engineUrl}] = running.targets;
  print(`load average ${loadavg()[0].toFixed(1)}`);
  await printStarts(running);
  await printMemory('idle', urls);
  await warmUp(entryUrl);
  await warmUp(engineUrl);
  for (const callers of CALLERS) {
    const direct = await round(engineUrl, callers);
    const before = await cpuOf(urls);
    const path = await round(entryUrl, callers);
    const after = await cpuOf(urls);
    printRound(callers, direct, path);
    for (const [name, seconds] of after) {
      const used = seconds - (before.get(name) ?? 0);
      const micros = Math.round((used / CALLS[callers]) * MICROS_PER_SECOND);
      print(`  ${name}: ${micros} us of CPU a request`);
    }
  }
  await printMemory('after the load', urls);
  print(`load average ${loadavg()[0].toFixed(1)}`);
}

/** Prints the time from the start of each program until it serves. */
async function printStarts(running: System): Promise<void> {
  const [control] = running.controls;
  const [entry] = running.entries;
  const [{agent}] = running.targets;
  for (const child of [control, entry, agent]) {
    const line = await child.line(text => text.includes('"process-started"'));
    const {time} = JSON.parse(line) as {time: number};
    print(`${child.name} served ${time - child.spawnedAt} ms after its start`);
  }
}

function warmUp(url: string): Promise<Round> {
  return callRound({
    url,
    callers: WARM_UP_CALLERS,
    calls: WARM_UP_CALLS,
    model: MODEL,
  });
}

function round(url: string, callers: number): Promise<Round> {
  return callRound({url, callers, calls: CALLS[callers], model: MODEL});
}

/** Base URLs of the processes by what they are. */
async function processUrls(running: System): Promise<Map<string, string>> {
  const members = await running.session.members();
  const urls = new Map([['control', running.controlUrls[0]]]);
  if (members.isOk) {
    members.value.forEach(member => urls.set(member.role, member.url));
  }
  return urls;
}

async function cpuOf(
  urls: ReadonlyMap<string, string>,
): Promise<Map<string, number>> {
  const seconds = new Map<string, number>();
  for (const [name, url] of urls) {
    seconds.set(name, (await processCost(url)).cpuSeconds);
  }
  return seconds;
}

async function printMemory(
  when: string,
  urls: ReadonlyMap<string, string>,
): Promise<void> {
  for (const [name, url] of urls) {
    const {residentMegabytes} = await processCost(url);
    print(`${name} ${when}: ${Math.round(residentMegabytes)} MB resident`);
  }
}

function printRound(callers: number, direct: Round, path: Round): void {
  const added = path.p50Ms - direct.p50Ms;
  const ratio = path.p50Ms / direct.p50Ms;
  print(
    [
      `${callers} callers:`,
      `direct p50 ${direct.p50Ms.toFixed(2)} p99 ${direct.p99Ms.toFixed(2)} ms,`,
      `path p50 ${path.p50Ms.toFixed(2)} p99 ${path.p99Ms.toFixed(2)} ms,`,
      `added p50 ${added.toFixed(2)} p99 ${(path.p99Ms - direct.p99Ms).toFixed(2)} ms,`,
      `ratio ${ratio.toFixed(2)},`,
      `${Math.round(direct.perSecond)} and ${Math.round(path.perSecond)} calls/s`,
    ].join(' '),
  );
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
