import PQueue from 'p-queue';
import {setTimeout as pause} from 'node:timers/promises';
import {sendJson, serveStandIn, type StandIn} from './stand-in.js';

/** Options of a weight store stand-in. */
export interface WeightStoreOptions {
  readonly port: number;
  /** Loads per second when loads run one at a time. */
  readonly loadsPerSecond: number;
}

/** Fraction by which each further concurrent load slows down all of them. */
const SLOWDOWN_PER_CONCURRENT_LOAD = 0.25;

/** Starts a stand-in for the rate-limited weight store. */
export function startWeightStore(
  options: WeightStoreOptions,
): Promise<StandIn> {
  const loadMs = 1_000 / options.loadsPerSecond;
  const queue = new PQueue({concurrency: 1});
  let loads = 0;
  return serveStandIn(options.port, async (request, response) => {
    if (request.url === '/record') {
      sendJson(response, 200, {loads});
      return;
    }
    const otherLoads = queue.size + queue.pending;
    await queue.add(() =>
      pause(loadMs * (1 + SLOWDOWN_PER_CONCURRENT_LOAD * otherLoads)),
    );
    loads += 1;
    sendJson(response, 200, {weights: request.url});
  });
}
