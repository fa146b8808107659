import {once} from 'node:events';
import http from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {openCompletion} from './open-completion.js';

/** Options of one round of calls. */
export interface RoundOptions {
  /** Base URL of the server that is called. */
  readonly url: string;
  /** Calls that run at once. */
  readonly callers: number;
  /** Calls in all. */
  readonly calls: number;
  /** Calls of all callers in a second; as many as possible without it. */
  readonly perSecond?: number;
}

/** What one round of calls took. */
export interface Round {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
}

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
const HIGHEST_MICROS = 60_000_000;

/** Sends completions of one token, each caller one after another. */
export async function callRound(options: RoundOptions): Promise<Round> {
  const agent = new http.Agent({keepAlive: true});
  const histogram = build({highestTrackableValue: HIGHEST_MICROS});
  const {calls, callers, perSecond} = options;
  const startedAt = performance.now();
  let next = 0;
  const caller = async () => {
    while (next < calls) {
      const call = next;
      next += 1;
      const sentAt = await turn(startedAt, call, perSecond);
      await complete(options.url, agent);
      const tookMs = performance.now() - sentAt;
      histogram.recordValue(Math.round(tookMs * MICROS_PER_MS));
    }
  };
  await Promise.all(Array.from({length: callers}, caller));
  const tookSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
  agent.destroy();
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    perSecond: calls / tookSeconds,
  };
}

/** Waits for the turn of a call; resolves to the time from which it is measured. */
async function turn(
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
  const answer = await openCompletion({url, tokens: 1, stream: false}, agent);
  answer.resume();
  await once(answer, 'end');
}
