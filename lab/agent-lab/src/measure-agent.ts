import http from 'node:http';
import {loadavg} from 'node:os';
import {startEngineSystem, type EngineSystem} from './engine-system.js';
import {sendAttempt} from './send-attempt.js';

interface Round {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
  /** CPU of the agent for one request, in microseconds. */
  readonly agentCpuMicros: number;
}

const CALLERS = [1, 16, 128];
const ROUND_MS = 4_000;
const WARM_UP_MS = 2_000;
const RESTARTS = 15;
const MEGABYTE = 1_048_576;
const MODEL = 'callao-0@v1';
let requests = 0;

const system = await startEngineSystem({
  slots: 6,
  batchLimit: 512,
  tokenMs: 0,
  loadsPerSecond: 4,
  fenceChecked: true,
  adapters: 100,
});
try {
  const agent = await system.startAgent();
  await firstRightAnswer(agent.url);
  print(`load average ${loadavg()[0].toFixed(1)}`);
  print(`agent idle: ${await memory(agent.url)} MB resident`);
  await round(system.engineUrl, agent.url, 16, WARM_UP_MS);
  await round(agent.url, agent.url, 16, WARM_UP_MS);
  for (const callers of CALLERS) {
    for (const [name, url] of [
      ['direct', system.engineUrl],
      ['agent', agent.url],
    ]) {
      report(name, callers, await round(url, agent.url, callers, ROUND_MS));
    }
  }
  print(`agent after the load: ${await memory(agent.url)} MB resident`);
  await measureRestarts(system, agent.url);
  print(`load average ${loadavg()[0].toFixed(1)}`);
} finally {
  await system.stop();
}

/** Sends requests one after another from each of `callers` for a time. */
async function round(
  url: string,
  agentUrl: string,
  callers: number,
  durationMs: number,
): Promise<Round> {
  const agent = new http.Agent({keepAlive: true});
  const times: number[] = [];
  const cpuBefore = await metric(agentUrl, 'process_cpu_seconds_total');
  const startedAt = performance.now();
  const call = async () => {
    while (performance.now() - startedAt < durationMs) {
      const sentAt = performance.now();
      requests += 1;
      const request = `measure-${requests}`;
      const answer = await sendAttempt({
        url,
        model: MODEL,
        request,
        tokens: 1,
        agent,
      });
      if (answer.status !== 200) {
        throw new Error(`answered with ${answer.status} ${answer.reason}`);
      }
      times.push(performance.now() - sentAt);
    }
  };
  await Promise.all(Array.from({length: callers}, call));
  const tookMs = performance.now() - startedAt;
  const cpu = (await metric(agentUrl, 'process_cpu_seconds_total')) - cpuBefore;
  agent.destroy();
  times.sort((a, b) => a - b);
  return {
    p50Ms: times[Math.floor(times.length * 0.5)],
    p99Ms: times[Math.floor(times.length * 0.99)],
    perSecond: (times.length / tookMs) * 1_000,
    agentCpuMicros: (cpu / times.length) * 1_000_000,
  };
}

function report(name: string, callers: number, round: Round): void {
  print(
    [
      `${callers} callers, ${name}:`,
      `p50 ${round.p50Ms.toFixed(2)} ms,`,
      `p99 ${round.p99Ms.toFixed(2)} ms,`,
      `${Math.round(round.perSecond)}/s,`,
      `agent CPU ${Math.round(round.agentCpuMicros)} us a request`,
    ].join(' '),
  );
}

/** Restarts the engine empty and takes the time to the first right answer. */
async function measureRestarts(
  system: EngineSystem,
  url: string,
): Promise<void> {
  const times: number[] = [];
  for (let index = 0; index < RESTARTS; index += 1) {
    await system.faults({restart: true});
    const restartedAt = performance.now();
    await firstRightAnswer(url);
    times.push(performance.now() - restartedAt);
  }
  times.sort((a, b) => a - b);
  const median = Math.round(times[Math.floor(times.length / 2)]);
  const longest = Math.round(times[times.length - 1]);
  print(
    `engine restart to first right answer, ${RESTARTS} times, a load of 250 ms: median ${median} ms, longest ${longest} ms`,
  );
}

async function firstRightAnswer(url: string): Promise<void> {
  const agent = new http.Agent({keepAlive: true});
  for (;;) {
    requests += 1;
    const request = `measure-${requests}`;
    const answer = await sendAttempt({
      url,
      model: MODEL,
      request,
      tokens: 1,
      agent,
    });
    if (answer.status === 200 && answer.whole) {
      agent.destroy();
      return;
    }
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

async function memory(url: string): Promise<number> {
  const bytes = await metric(url, 'process_resident_memory_bytes');
  return Math.round(bytes / MEGABYTE);
}

async function metric(url: string, name: string): Promise<number> {
  const text = await (await fetch(`${url}/metrics`)).text();
  const line = text.split('\n').find(each => each.startsWith(`${name}{`));
  return Number(line?.split(' ').at(-1));
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}
