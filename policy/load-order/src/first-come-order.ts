import type {LoadOrder, PendingLoad} from './load-order.js';

/** Runs loads in the order in which they were asked for, prefetches last. */
export class FirstComeOrder implements LoadOrder {
  next<Load extends PendingLoad>(loads: readonly Load[]): Load | undefined {
    return this.sort(loads)[0];
  }

  sort<Load extends PendingLoad>(loads: readonly Load[]): Load[] {
    return [...loads].sort(
      (a, b) =>
        Number(a.waiters === 0) - Number(b.waiters === 0) ||
        a.askedAt - b.askedAt,
    );
  }
}
