import http from 'node:http';
import {build, type Histogram} from 'hdr-histogram-js';
import {openCompletion} from './open-completion.js';

/** Options of one round of streams. */
export interface StreamRoundOptions {
  /** Base URL of the server that is called. */
  readonly url: string;
  /** Streams that run at once. */
  readonly streams: number;
  /** Tokens of each stream. */
  readonly tokens: number;
}

/** Times between the tokens that callers saw. */
export interface StreamRound {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly tokensPerSecond: number;
}

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
const HIGHEST_MICROS = 60_000_000;
const EVENT_START = 'data: {';

/** Reads streams that run at once; throws where one comes short. */
export async function streamRound(
  options: StreamRoundOptions,
): Promise<StreamRound> {
  const {streams, tokens} = options;
  const agent = new http.Agent({keepAlive: true});
  const histogram = build({highestTrackableValue: HIGHEST_MICROS});
  const startedAt = performance.now();
  const read = () => readStream(options, agent, histogram);
  await Promise.all(Array.from({length: streams}, read));
  const tookSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
  agent.destroy();
  const percentile = (share: number) =>
    histogram.getValueAtPercentile(share) / MICROS_PER_MS;
  return {
    p50Ms: percentile(50),
    p95Ms: percentile(95),
    p99Ms: percentile(99),
    tokensPerSecond: (streams * tokens) / tookSeconds,
  };
}

async function readStream(
  {url, tokens}: StreamRoundOptions,
  agent: http.Agent,
  histogram: Histogram,
): Promise<void> {
  const answer = await openCompletion({url, tokens, stream: true}, agent);
  let seen = 0;
  let lastAt = 0;
  for await (const chunk of answer) {
    const count = String(chunk).split(EVENT_START).length - 1;
    const now = performance.now();
    if (seen > 0 && count > 0) {
      const gapMs = now - lastAt;
      histogram.recordValue(Math.round(gapMs * MICROS_PER_MS));
    }
    seen += count;
    lastAt = now;
  }
  if (seen !== tokens) {
    throw new Error(`${seen} of ${tokens} tokens came`);
  }
}
