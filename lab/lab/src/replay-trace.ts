import {build} from 'hdr-histogram-js';
import {
  generateTrace,
  readWorkload,
  type Arrival,
  type Policy,
  type Workload,
} from '@marigoldspur/experiment';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {listDeployments, createDeploymentTree} from './deployments.js';
import {startSystem, type System} from './system.js';

/** Options of a replay against real processes. */
export interface ReplayOptions {
  /** Path of the workload file. */
  readonly file: string;
  /** Name of a policy in the workload file. */
  readonly policy: string;
  /** Load as a multiple of the knee rate. */
  readonly load: number;
  /** Seed of the trace. */
  readonly seed: number;
  /** Time before the measurement; its requests are sent but not counted. */
  readonly warmUpSeconds: number;
  readonly measuredSeconds: number;
}

/** Latency that callers observed; a refused or late request counts with the full deadline. */
export interface ReplayResult {
  readonly policy: string;
  readonly requests: number;
  /** Number of requests that were refused or late. */
  readonly refused: number;
  readonly meanFirstTokenMs: number;
  readonly p95FirstTokenMs: number;
  readonly p99FirstTokenMs: number;
}

const MS_PER_SECOND = 1_000;
const ENGINE_TOKEN_MS = 20;
const CALM_SCENARIO = {name: 'calm', disturbances: []};

/**
 * Replays a trace without disturbances against control, entries, agents and stand-ins
 * that run as processes; throws if the workload file or policy is invalid.
 */
export async function replayTrace(
  options: ReplayOptions,
): Promise<ReplayResult> {
  const result = await readWorkload(options.file);
  if (result.isErr) {
    throw result.error;
  }
  const {warmUpSeconds, measuredSeconds} = options;
  const workload = {...result.value, warmUpSeconds, measuredSeconds};
  const policy = workload.policies.find(({name}) => name === options.policy);
  if (policy === undefined) {
    throw new Error(`the workload has no policy "${options.policy}"`);
  }
  const rate = options.load * workload.kneeRate;
  const trace = generateTrace(workload, CALM_SCENARIO, rate, options.seed);
  const customerDeployments = listDeployments().filter(
    deployment => deployment.customer === workload.name,
  );
  const system = await startSystem({
    deployments: customerDeployments,
    tree: createReplayTree(customerDeployments, workload, policy),
    controls: 1,
    entries: workload.cluster.entries,
    firstTokenMs: workload.cluster.firstTokenMs,
    tokenMs: ENGINE_TOKEN_MS,
  });
  try {
    await system.waitUntilSettled();
    return await sendTrace(system, trace, workload, policy.name);
  } finally {
    await system.stop();
  }
}

function createReplayTree(
  customerDeployments: ReturnType<typeof listDeployments>,
  workload: Workload,
  policy: Policy,
): SettingsTree {
  const tree = createDeploymentTree(
    customerDeployments,
    workload.cluster.adapters,
  );
  const {placement, eviction, loadOrder, stallWeight} = policy;
  tree.settings = {
    placement,
    eviction,
    loadOrder,
    stallWeight,
    firstByteTimeoutMs: workload.deadlineMs,
    maxAttempts: 1,
    concurrency: 10_000,
  };
  return tree;
}

async function sendTrace(
  system: System,
  trace: readonly Arrival[],
  workload: Workload,
  policy: string,
): Promise<ReplayResult> {
  const startedAt = performance.now();
  const firstTokenTimes: Array<Promise<number | undefined>> = [];
  for (const arrival of trace) {
    const delayMs = startedAt + arrival.at - performance.now();
    await new Promise(resolve => setTimeout(resolve, Math.max(0, delayMs)));
    const firstTokenTime = measureFirstToken(system, arrival, workload);
    if (arrival.at >= workload.warmUpSeconds * MS_PER_SECOND) {
      firstTokenTimes.push(firstTokenTime);
    }
  }
  const times = await Promise.all(firstTokenTimes);
  const histogram = build();
  const latencies = times.map(time => time ?? workload.deadlineMs);
  latencies.forEach(time => histogram.recordValue(Math.round(time)));
  return {
    policy,
    requests: times.length,
    refused: times.filter(time => time === undefined).length,
    meanFirstTokenMs: Math.round(
      latencies.reduce((sum, time) => sum + time, 0) / latencies.length,
    ),
    p95FirstTokenMs: histogram.getValueAtPercentile(95),
    p99FirstTokenMs: histogram.getValueAtPercentile(99),
  };
}

/**
 * Sends a request; resolves to the time to the first token, in milliseconds, or to
 * undefined if the request was refused or late.
 */
async function measureFirstToken(
  system: System,
  arrival: Arrival,
  workload: Workload,
): Promise<number | undefined> {
  const sentAt = performance.now();
  const deadline = new AbortController();
  const timer = setTimeout(() => deadline.abort(), workload.deadlineMs);
  try {
    const response = await fetch(`${system.balancerUrl}/v1/completions`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        model: arrival.model.replace('adapter', workload.name),
        prompt: 'position list',
        max_tokens: arrival.tokens,
        stream: true,
      }),
      signal: deadline.signal,
    });
    const reader = response.body!.getReader();
    await reader.read();
    const tookMs = performance.now() - sentAt;
    clearTimeout(timer);
    void readToEnd(reader);
    return response.status === 200 ? tookMs : undefined;
  } catch {
    clearTimeout(timer);
    return undefined;
  }
}

async function readToEnd(
  reader: ReadableStreamDefaultReader<Uint8Array>,
): Promise<void> {
  try {
    while (!(await reader.read()).done) {
      continue;
    }
  } catch {
    // The system may stop before the last responses end.
  }
}
