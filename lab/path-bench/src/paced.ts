import type {System} from '@marigoldspur/lab';
import {runCallRound, type CallRoundResult} from './call-round.js';
import {measureCpuMicros, findProcessUrls} from './process-cost.js';
import {formatComparison, formatCpuCosts, printLines} from './report-lines.js';
import {warmUp} from './saturated.js';

const CALLER_COUNT = 16;
/** The highest rate is close to the capacity of one entry. */
const CALL_RATES_PER_SECOND = [50, 200, 400, 800];
const ROUND_SECONDS = 6;

/** Measures calls of 16 callers at fixed rates below the capacity of the processes. */
export async function measurePaced(system: System): Promise<void> {
  const urls = await findProcessUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  await warmUp(entryUrl);
  await warmUp(engineUrl);
  for (const perSecond of CALL_RATES_PER_SECOND) {
    const calls = perSecond * ROUND_SECONDS;
    const runRound = (url: string) =>
      runCallRound({
        url,
        callerCount: CALLER_COUNT,
        callCount: calls,
        perSecond,
      });
    const direct = await runRound(engineUrl);
    let path: CallRoundResult | undefined;
    const cpu = await measureCpuMicros(urls, async () => {
      path = await runRound(entryUrl);
    });
    printLines(
      formatComparison(
        `${CALLER_COUNT} callers, ${perSecond} calls/s`,
        direct,
        path!,
      ),
    );
    printLines(formatCpuCosts(cpu, calls, 'request'));
  }
}
