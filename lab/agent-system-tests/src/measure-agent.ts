/*
 * Measures the latency and CPU time that an agent adds to a request, the memory of the
 * agent, and the time from an engine restart to the first correct response.
 */
import http from 'node:http';
import {loadavg} from 'node:os';
import {startEngineSystem, type EngineSystem} from './engine-system.js';
import {sendAttempt} from './send-attempt.js';

interface RoundResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
  /** CPU time of the agent per request, in microseconds. */
  readonly agentCpuMicros: number;
}

const CALLER_COUNTS = [1, 16, 128];
const ROUND_DURATION_MS = 4_000;
const WARM_UP_MS = 2_000;
const RESTART_COUNT = 15;
const BYTES_PER_MEGABYTE = 1_048_576;
const MODEL = 'callao-0@v1';
let requestCount = 0;

const system = await startEngineSystem({
  slots: 6,
  batchLimit: 512,
  tokenMs: 0,
  loadsPerSecond: 4,
  isFenceChecked: true,
  adapters: 100,
});
try {
  const agent = await system.startAgent();
  await waitForCorrectResponse(agent.url);
  printLine(`load average ${loadavg()[0].toFixed(1)}`);
  printLine(
    `agent idle: ${await readResidentMegabytes(agent.url)} MB resident`,
  );
  await runRound(system.engineUrl, agent.url, 16, WARM_UP_MS);
  await runRound(agent.url, agent.url, 16, WARM_UP_MS);
  for (const callers of CALLER_COUNTS) {
    for (const [name, url] of [
      ['direct', system.engineUrl],
      ['agent', agent.url],
    ]) {
      printRound(
        name,
        callers,
        await runRound(url, agent.url, callers, ROUND_DURATION_MS),
      );
    }
  }
  printLine(
    `agent after the load: ${await readResidentMegabytes(agent.url)} MB resident`,
  );
  await measureRestarts(system, agent.url);
  printLine(`load average ${loadavg()[0].toFixed(1)}`);
} finally {
  await system.stop();
}

/** Sends requests for `durationMs` from `callers` callers, each of which sends one at a time. */
async function runRound(
  url: string,
  agentUrl: string,
  callers: number,
  durationMs: number,
): Promise<RoundResult> {
  const agent = new http.Agent({keepAlive: true});
  const times: number[] = [];
  const cpuSecondsBefore = await readMetric(
    agentUrl,
    'process_cpu_seconds_total',
  );
  const startedAt = performance.now();
  const call = async () => {
    while (performance.now() - startedAt < durationMs) {
      const sentAt = performance.now();
      requestCount += 1;
      const request = `measure-${requestCount}`;
      const response = await sendAttempt({
        url,
        model: MODEL,
        request,
        tokens: 1,
        agent,
      });
      if (response.status !== 200) {
        throw new Error(
          `request failed with status ${response.status}: ${response.reason}`,
        );
      }
      times.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: callers}, call));
  const tookMs = performance.now() - startedAt;
  const cpuSeconds =
    (await readMetric(agentUrl, 'process_cpu_seconds_total')) -
    cpuSecondsBefore;
  agent.destroy();
  times.sort((a, b) => a - b);
  return {
    p50Ms: times[Math.floor(times.length * 0.5)],
    p99Ms: times[Math.floor(times.length * 0.99)],
    perSecond: (times.length / tookMs) * 1_000,
    agentCpuMicros: (cpuSeconds / times.length) * 1_000_000,
  };
}

function printRound(name: string, callers: number, round: RoundResult): void {
  printLine(
    [
      `${callers} callers, ${name}:`,
      `p50 ${round.p50Ms.toFixed(2)} ms,`,
      `p99 ${round.p99Ms.toFixed(2)} ms,`,
      `${Math.round(round.perSecond)}/s,`,
      `agent CPU ${Math.round(round.agentCpuMicros)} us per request`,
    ].join(' '),
  );
}

/** Restarts the engine without adapters and measures the time to the first correct response. */
async function measureRestarts(
  system: EngineSystem,
  url: string,
): Promise<void> {
  const times: number[] = [];
  for (let index = 0; index < RESTART_COUNT; index += 1) {
    await system.setFaults({restart: true});
    const restartedAt = performance.now();
    await waitForCorrectResponse(url);
    times.push(performance.now() - restartedAt);
  }
  times.sort((a, b) => a - b);
  const median = Math.round(times[Math.floor(times.length / 2)]);
  const longest = Math.round(times[times.length - 1]);
  printLine(
    `engine restart to first correct response, ${RESTART_COUNT} restarts, 250 ms per load: median ${median} ms, longest ${longest} ms`,
  );
}

async function waitForCorrectResponse(url: string): Promise<void> {
  const agent = new http.Agent({keepAlive: true});
  for (;;) {
    requestCount += 1;
    const request = `measure-${requestCount}`;
    const response = await sendAttempt({
      url,
      model: MODEL,
      request,
      tokens: 1,
      agent,
    });
    if (response.status === 200 && response.isComplete) {
      agent.destroy();
      return;
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

async function readResidentMegabytes(url: string): Promise<number> {
  const bytes = await readMetric(url, 'process_resident_memory_bytes');
  return Math.round(bytes / BYTES_PER_MEGABYTE);
}

async function readMetric(url: string, name: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const line = text.split('\n').find(sample => sample.startsWith(`${name}{`));
  return Number(line?.split(' ').at(-1));
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}
