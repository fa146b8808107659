import type {LoadOrder, PendingLoad} from './load-order.js';

/** Waiting time that is worth one additional waiter, in milliseconds. */
const AGING_MS = 2_000;
const DEFAULT_PRIORITY = 5;

/**
 * Runs the load first whose delay does the most harm. Each waiter counts, with
 * twice the weight for each priority level; age counts too, so that no load
 * starves. Prefetches come last.
 */
export class LeastHarmOrder implements LoadOrder {
  next<Load extends PendingLoad>(
    loads: readonly Load[],
    now: number,
  ): Load | undefined {
    return this.sort(loads, now)[0];
  }

  sort<Load extends PendingLoad>(loads: readonly Load[], now: number): Load[] {
    return loads
      .map(load => ({load, computeHarm: harm(load, now)}))
      .sort(
        (a, b) =>
          b.computeHarm - a.computeHarm || a.load.askedAt - b.load.askedAt,
      )
      .map(({load}) => load);
  }
}

function harm(load: PendingLoad, now: number): number {
  if (load.waiters === 0) {
    return -1;
  }
  const weight = 2 ** (DEFAULT_PRIORITY - load.priority);
  return load.waiters * weight + (now - load.askedAt) / AGING_MS;
}
