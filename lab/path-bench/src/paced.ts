import type {System} from '@marigoldspur/lab';
import {callRound, type Round} from './call-round.js';
import {cpuMicrosDuring, processUrls} from './process-cost.js';
import {comparison, costLines, print} from './report-lines.js';
import {warmUp} from './saturated.js';

const CALLERS = 16;
/** Calls in a second; the last is near what one entry can serve. */
const RATES = [50, 200, 400, 800];
const ROUND_SECONDS = 6;

/** Measures 16 callers that send at given rates, below what the processes can serve. */
export async function measurePaced(system: System): Promise<void> {
  const urls = await processUrls(system);
  const [entryUrl] = system.entryUrls;
  const [{url: engineUrl}] = system.targets;
  await warmUp(entryUrl);
  await warmUp(engineUrl);
  for (const perSecond of RATES) {
    const calls = perSecond * ROUND_SECONDS;
    const round = (url: string) =>
      callRound({url, callers: CALLERS, calls, perSecond});
    const direct = await round(engineUrl);
    let path: Round | undefined;
    const cpu = await cpuMicrosDuring(urls, async () => {
      path = await round(entryUrl);
    });
    print(
      comparison(`${CALLERS} callers, ${perSecond} calls/s`, direct, path!),
    );
    print(costLines(cpu, calls, 'request'));
  }
}
