import {build} from 'hdr-histogram-js';
import {
  generateTrace,
  readWorkload,
  type Arrival,
  type Policy,
  type Workload,
} from '@marigoldspur/experiment';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {deployments, deploymentTree} from './deployments.js';
import {startSystem, type System} from './system.js';

/** What is replayed against real processes. */
export interface ReplayOptions {
  readonly file: string;
  readonly policy: string;
  /** Multiple of the knee rate. */
  readonly load: number;
  readonly seed: number;
  readonly warmUpSeconds: number;
  readonly measuredSeconds: number;
}

/** What callers saw; a refused or late request counts as waiting to the deadline. */
export interface ReplayFigures {
  readonly policy: string;
  readonly requests: number;
  readonly refused: number;
  readonly meanFirstTokenMs: number;
  readonly p95FirstTokenMs: number;
  readonly p99FirstTokenMs: number;
}

const SECOND_MS = 1_000;
const ENGINE_TOKEN_MS = 20;
const CALM = {name: 'calm', disturbances: []};

/** Sends a calm trace to control, entries, agents and stand-ins that run as processes. */
export async function replayTrace(
  options: ReplayOptions,
): Promise<ReplayFigures> {
  const read = await readWorkload(options.file);
  if (read.isErr) {
    throw read.error;
  }
  const {warmUpSeconds, measuredSeconds} = options;
  const workload = {...read.value, warmUpSeconds, measuredSeconds};
  const policy = workload.policies.find(({name}) => name === options.policy);
  if (policy === undefined) {
    throw new Error(`the workload has no policy ${options.policy}`);
  }
  const rate = options.load * workload.kneeRate;
  const trace = generateTrace(workload, CALM, rate, options.seed);
  const list = deployments().filter(each => each.customer === workload.name);
  const system = await startSystem({
    deployments: list,
    tree: replayTree(list, workload, policy),
    controls: 1,
    entries: workload.cluster.entries,
    firstTokenMs: workload.cluster.firstTokenMs,
    tokenMs: ENGINE_TOKEN_MS,
  });
  try {
    await system.settled();
    return await sendAll(system, trace, workload, policy.name);
  } finally {
    await system.stop();
  }
}

function replayTree(
  list: ReturnType<typeof deployments>,
  workload: Workload,
  policy: Policy,
): SettingsTree {
  const tree = deploymentTree(list, workload.cluster.adapters);
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

async function sendAll(
  system: System,
  trace: readonly Arrival[],
  workload: Workload,
  policy: string,
): Promise<ReplayFigures> {
  const startedAt = performance.now();
  const sent: Array<Promise<number | undefined>> = [];
  for (const arrival of trace) {
    const dueMs = startedAt + arrival.at - performance.now();
    await new Promise(resolve => setTimeout(resolve, Math.max(0, dueMs)));
    const answer = firstToken(system, arrival, workload);
    if (arrival.at >= workload.warmUpSeconds * SECOND_MS) {
      sent.push(answer);
    }
  }
  const times = await Promise.all(sent);
  const histogram = build();
  const counted = times.map(time => time ?? workload.deadlineMs);
  counted.forEach(time => histogram.recordValue(Math.round(time)));
  return {
    policy,
    requests: times.length,
    refused: times.filter(time => time === undefined).length,
    meanFirstTokenMs: Math.round(
      counted.reduce((sum, time) => sum + time, 0) / counted.length,
    ),
    p95FirstTokenMs: histogram.getValueAtPercentile(95),
    p99FirstTokenMs: histogram.getValueAtPercentile(99),
  };
}

/** Time to the first token, in milliseconds; undefined where refused or late. */
async function firstToken(
  system: System,
  arrival: Arrival,
  workload: Workload,
): Promise<number | undefined> {
  const sentAt = performance.now();
  const gone = new AbortController();
  const timer = setTimeout(() => gone.abort(), workload.deadlineMs);
  try {
    const answer = await fetch(`${system.balancerUrl}/v1/completions`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        model: arrival.model.replace('adapter', workload.name),
        prompt: 'position list',
        max_tokens: arrival.tokens,
        stream: true,
      }),
      signal: gone.signal,
    });
    const reader = answer.body!.getReader();
    await reader.read();
    const tookMs = performance.now() - sentAt;
    clearTimeout(timer);
    void drain(reader);
    return answer.status === 200 ? tookMs : undefined;
  } catch {
    clearTimeout(timer);
    return undefined;
  }
}

async function drain(
  reader: ReadableStreamDefaultReader<Uint8Array>,
): Promise<void> {
  try {
    while (!(await reader.read()).done) {
      continue;
    }
  } catch {
    // The system stops before the last answers end.
  }
}
