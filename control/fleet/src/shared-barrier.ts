import {setTimeout as pause} from 'node:timers/promises';

/** Options of a shared barrier. */
export interface SharedBarrierOptions<T> {
  /** Runs a barrier; must not reject. */
  readonly run: () => Promise<T>;
  /** Minimum time between the starts of two barriers, in milliseconds. */
  readonly intervalMs: number;
}

/**
 * Lets requests share barriers. The barrier of a request starts after the request arrived; all
 * requests that arrive before the next barrier starts share it.
 */
export class SharedBarrier<T> {
  /** The barrier that has not started yet. */
  private next: Promise<T> | undefined;
  private startedAt = -Infinity;

  constructor(private readonly options: SharedBarrierOptions<T>) {}

  /** Resolves to the result of a barrier that starts after this call at time `now`, in milliseconds. */
  request(now: number): Promise<T> {
    this.next ??= this.startNext(now);
    return this.next;
  }

  private async startNext(now: number): Promise<T> {
    const waitMs = this.startedAt + this.options.intervalMs - now;
    // A timer may fire up to a millisecond early. The wait, even if it is 0, also lets `request`
    // store the promise before `next` is cleared.
    await pause(waitMs > 0 ? Math.ceil(waitMs) + 1 : 0);
    this.next = undefined;
    this.startedAt = performance.now();
    return this.options.run();
  }
}
