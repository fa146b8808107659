import http from 'node:http';
import {build, type Histogram} from 'hdr-histogram-js';
import {openCompletion} from './open-completion.js';

/** Options of a round of streams. */
export interface StreamRoundOptions {
  /** Base URL of the server that is called. */
  readonly url: string;
  /** Number of concurrent streams. */
  readonly streamCount: number;
  /** Number of tokens in each stream. */
  readonly tokensPerStream: number;
}

/** Times between tokens that callers observed, and throughput. */
export interface StreamRoundResult {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
  readonly tokensPerSecond: number;
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROS = 60_000_000;
const TOKEN_EVENT_START = 'data: {';

/** Reads concurrent streams; rejects if one of them has too few or too many tokens. */
export async function runStreamRound(
  options: StreamRoundOptions,
): Promise<StreamRoundResult> {
  const {streamCount, tokensPerStream} = options;
  const agent = new http.Agent({keepAlive: true});
  const histogram = build({highestTrackableValue: HIGHEST_MICROS});
  const startedAt = performance.now();
  const read = () => readStream(options, agent, histogram);
  await Promise.all(Array.from({length: streamCount}, read));
  const tookSeconds = (performance.now() - startedAt) / MS_PER_SECOND;
  agent.destroy();
  const readPercentileMs = (rank: number) =>
    histogram.getValueAtPercentile(rank) / MICROSECONDS_PER_MS;
  return {
    p50Ms: readPercentileMs(50),
    p95Ms: readPercentileMs(95),
    p99Ms: readPercentileMs(99),
    tokensPerSecond: (streamCount * tokensPerStream) / tookSeconds,
  };
}

async function readStream(
  {url, tokensPerStream}: StreamRoundOptions,
  agent: http.Agent,
  histogram: Histogram,
): Promise<void> {
  const response = await openCompletion(
    {url, tokenCount: tokensPerStream, isStreamed: true},
    agent,
  );
  let receivedTokens = 0;
  let lastAt = 0;
  for await (const chunk of response) {
    const count = String(chunk).split(TOKEN_EVENT_START).length - 1;
    const now = performance.now();
    if (receivedTokens > 0 && count > 0) {
      const gapMs = now - lastAt;
      histogram.recordValue(Math.round(gapMs * MICROSECONDS_PER_MS));
    }
    receivedTokens += count;
    lastAt = now;
  }
  if (receivedTokens !== tokensPerStream) {
    throw new Error(`received ${receivedTokens} of ${tokensPerStream} tokens`);
  }
}
