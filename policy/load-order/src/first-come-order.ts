import type {LoadOrder, PendingLoad} from './load-order.js';

/** Waiting time that one priority level is worth, in milliseconds. */
const PRIORITY_LEVEL_MS = 2_000;

/**
 * Runs loads in the order of their requests. A more urgent load overtakes those
 * that have waited only a little longer. Prefetches come last.
 */
export class FirstComeOrder implements LoadOrder {
  next<Load extends PendingLoad>(loads: readonly Load[]): Load | undefined {
    return this.sort(loads)[0];
  }

  sort<Load extends PendingLoad>(loads: readonly Load[]): Load[] {
    return [...loads].sort(
      (a, b) =>
        Number(a.waiters === 0) - Number(b.waiters === 0) ||
        computeRank(a) - computeRank(b),
    );
  }
}

function computeRank({askedAt, priority}: PendingLoad): number {
  return askedAt + priority * PRIORITY_LEVEL_MS;
}
