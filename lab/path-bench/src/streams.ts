import type {System} from '@marigoldspur/lab';
import {measureCpuMicros, findProcessUrls} from './process-cost.js';
import {formatCpuCosts, printLines} from './report-lines.js';
import {runStreamRound, type StreamRoundResult} from './stream-round.js';

const STREAM_COUNTS = [8, 32, 64];
const TOKENS_PER_STREAM = 200;

/** Measures the times between the tokens of concurrent streams. */
export async function measureStreams(system: System): Promise<void> {
  const urls = await findProcessUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  const runRound = (url: string, streams: number) =>
    runStreamRound({
      url,
      streamCount: streams,
      tokensPerStream: TOKENS_PER_STREAM,
    });
  await runRound(entryUrl, STREAM_COUNTS[0]);
  for (const streams of STREAM_COUNTS) {
    const direct = await runRound(engineUrl, streams);
    let path: StreamRoundResult | undefined;
    const cpu = await measureCpuMicros(urls, async () => {
      path = await runRound(entryUrl, streams);
    });
    printLines(`${streams} streams of ${TOKENS_PER_STREAM} tokens`);
    printLines(`  direct: ${formatTokenIntervals(direct)}`);
    printLines(`  path: ${formatTokenIntervals(path!)}`);
    printLines(formatCpuCosts(cpu, streams * TOKENS_PER_STREAM, 'token'));
  }
}

function formatTokenIntervals(round: StreamRoundResult): string {
  const {p50Ms, p95Ms, p99Ms, tokensPerSecond} = round;
  const times = [p50Ms, p95Ms, p99Ms].map(ms => ms.toFixed(2)).join(', ');
  return `${times} ms between tokens at p50, p95, p99, ${Math.round(tokensPerSecond)} tokens/s`;
}
