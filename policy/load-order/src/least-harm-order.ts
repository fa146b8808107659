import type {LoadOrder, PendingLoad} from './load-order.js';

/** Runs the load first whose delay harms most: by priority, then by waiters times age. */
export class LeastHarmOrder implements LoadOrder {
  next<Load extends PendingLoad>(
    loads: readonly Load[],
    now: number,
  ): Load | undefined {
    return [...loads].sort(
      (a, b) => a.priority - b.priority || harm(b, now) - harm(a, now),
    )[0];
  }
}

function harm(load: PendingLoad, now: number): number {
  return load.waiters * (now - load.askedAt);
}
