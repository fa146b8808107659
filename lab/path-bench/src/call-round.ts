import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {openCompletion} from './open-completion.js';

/** Options of a round of calls. */
export interface CallRoundOptions {
  /** Base URL of the server that is called. */
  readonly url: string;
  /** Number of concurrent callers. */
  readonly callerCount: number;
  /** Total number of calls. */
  readonly callCount: number;
  /** Calls per second of all callers together; unlimited if undefined. */
  readonly perSecond?: number;
}

/** Latency and throughput of a round of calls. */
export interface CallRoundResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Completed calls per second of all callers together. */
  readonly perSecond: number;
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROS = 60_000_000;

/** Requests completions of one token; each caller sends one at a time. Rejects if a call fails. */
export async function runCallRound(
  options: CallRoundOptions,
): Promise<CallRoundResult> {
  const agent = new http.Agent({keepAlive: true});
  const histogram = build({highestTrackableValue: HIGHEST_MICROS});
  const {callCount, callerCount, perSecond} = options;
  const startedAt = performance.now();
  let nextCall = 0;
  const caller = async () => {
    while (nextCall < callCount) {
      const call = nextCall;
      nextCall += 1;
      const sentAt = await waitForTurn(startedAt, call, perSecond);
      await complete(options.url, agent);
      const tookMs = performance.now() - sentAt;
      histogram.recordValue(Math.round(tookMs * MICROSECONDS_PER_MS));
    }
  };
  await Promise.all(Array.from({length: callerCount}, caller));
  const tookSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
  agent.destroy();
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    perSecond: callCount / tookSeconds,
  };
}

/** Waits until a call is due; resolves to the time from which its latency is measured. */
async function waitForTurn(
  startedAt: number,
  call: number,
  perSecond: number | undefined,
): Promise<number> {
  if (perSecond === undefined) {
    return performance.now();
  }
  const dueAt = startedAt + (call * MS_PER_SECOND) / perSecond;
  await pause(Math.max(0, dueAt - performance.now()));
  return performance.now();
}

async function complete(url: string, agent: http.Agent): Promise<void> {
  const response = await openCompletion(
    {url, tokenCount: 1, isStreamed: false},
    agent,
  );
  response.resume();
  await once(response, 'end');
}
