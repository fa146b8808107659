import type {System} from '@marigoldspur/lab';
import {cpuMicrosDuring, processUrls} from './process-cost.js';
import {costLines, print} from './report-lines.js';
import {streamRound, type StreamRound} from './stream-round.js';

const STREAMS = [8, 32, 64];
const TOKENS = 200;

/** Measures the times between tokens of streams that run at once. */
export async function measureStreams(system: System): Promise<void> {
  const urls = await processUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  const round = (url: string, streams: number) =>
    streamRound({url, streams, tokens: TOKENS});
  await round(entryUrl, STREAMS[0]);
  for (const streams of STREAMS) {
    const direct = await round(engineUrl, streams);
    let path: StreamRound | undefined;
    const cpu = await cpuMicrosDuring(urls, async () => {
      path = await round(entryUrl, streams);
    });
    print(`${streams} streams of ${TOKENS} tokens`);
    print(`  direct: ${gaps(direct)}`);
    print(`  path: ${gaps(path!)}`);
    print(costLines(cpu, streams * TOKENS, 'token'));
  }
}

function gaps(round: StreamRound): string {
  const {p50Ms, p95Ms, p99Ms, tokensPerSecond} = round;
  const times = [p50Ms, p95Ms, p99Ms].map(ms => ms.toFixed(2)).join(', ');
  return `${times} ms between tokens at p50, p95, p99, ${Math.round(tokensPerSecond)} tokens/s`;
}
