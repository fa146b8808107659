import {
  findLateLoads,
  OverloadDetector,
} from '@marigoldspur/overload-protection';
import type {LoadOrder, PendingLoad} from '@marigoldspur/load-order';

/** A load for which an agent requests a permit. */
export interface RequestedLoad extends PendingLoad {
  /** ID of the request; a request with the same ID replaces the earlier one. */
  readonly id: string;
  /** Time by which the load must end to be useful, in milliseconds. */
  readonly deadline: number;
}

/** How a permit was used: the load succeeded, failed, or never started. */
export type PermitOutcome = 'loaded' | 'failed' | 'unused';

/** Options of a permit queue. */
export interface PermitQueueOptions {
  /** Returns the current load order. */
  readonly order: () => LoadOrder;
  /** Maximum number of concurrent loads. */
  readonly loadsAtOnce: number;
  /** Time after which an unreturned permit expires, in milliseconds. */
  readonly validMs: number;
  /** Maximum number of waiting loads. */
  readonly queueLimit: number;
  /** Returns the fraction of its time to the deadline that a load may wait; 0 disables early refusal. */
  readonly patience: () => number;
  /** Returns the patience that applies while the store is overloaded. */
  readonly overloadPatience: () => number;
  /** Returns the time for which the queue must be too long before the store counts as overloaded, in milliseconds. */
  readonly overloadAfterMs: () => number;
  /** Time for which the queue must be short before the overload ends, in milliseconds. */
  readonly overloadEndsAfterMs: number;
  /** Fraction of the store's time that prefetches leave free, at least 0 and less than 1. */
  readonly prefetchReserve: number;
}

interface HeldPermit {
  readonly load: RequestedLoad;
  readonly grantedAt: number;
}

interface Failure {
  readonly count: number;
  readonly retryAt: number;
}

const INITIAL_LOAD_TIME_MS = 300;
/** Weight of the latest load in the moving average of the load times. */
const LATEST_LOAD_WEIGHT = 0.2;
const INITIAL_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
const MAX_TRACKED_FAILURES = 4_096;

/**
 * Schedules the loads of one weight store and decides which are refused. A load with
 * waiters is demanded; one without is a prefetch, which runs only while no demanded load
 * is eligible.
 */
export class PermitQueue {
  private readonly waiting = new Map<string, RequestedLoad>();
  private readonly held = new Map<string, HeldPermit>();
  private readonly failures = new Map<string, Failure>();
  private readonly overload: OverloadDetector;
  private averageLoadMs = INITIAL_LOAD_TIME_MS;
  private nextPrefetchAt = -Infinity;

  constructor(private readonly options: PermitQueueOptions) {
    this.overload = new OverloadDetector({
      beginAfterMs: options.overloadAfterMs,
      endAfterMs: options.overloadEndsAfterMs,
    });
  }

  /** Number of waiting loads. */
  get size(): number {
    return this.waiting.size;
  }

  /** Expected duration of one load, in milliseconds. */
  get expectedLoadMs(): number {
    return this.averageLoadMs;
  }

  /** Adds a request, or replaces the one with the same ID. */
  enqueue(load: RequestedLoad): void {
    this.waiting.set(load.id, load);
  }

  /** Removes a waiting request. */
  withdraw(id: string): void {
    this.waiting.delete(id);
  }

  /** Removes and returns the loads that would miss their deadline or exceed the queue limit. */
  dropLate(now: number): RequestedLoad[] {
    const ordered = this.options.order().sort([...this.waiting.values()], now);
    const overLimit = ordered.slice(this.options.queueLimit);
    const demanded = ordered
      .slice(0, this.options.queueLimit)
      .filter(load => load.waiters > 0);
    this.recordQueueLength(demanded, now);
    const late = [...overLimit, ...this.selectLateLoads(demanded, now)];
    late.forEach(load => this.waiting.delete(load.id));
    return late;
  }

  /** Predicted time until a load requested now would start, in milliseconds. */
  predictedWaitMs(now: number): number {
    const demanded = [...this.waiting.values()].filter(
      load => load.waiters > 0,
    );
    return this.nextFreeAt(now) - now + demanded.length * this.averageLoadMs;
  }

  /** Grants a permit from `now` on to the next load and returns the load; undefined if none may run. */
  grantNext(now: number): RequestedLoad | undefined {
    this.expirePermits(now);
    if (this.held.size >= this.options.loadsAtOnce) {
      return undefined;
    }
    const load = this.options.order().next(this.eligibleLoads(now), now);
    if (load === undefined) {
      return undefined;
    }
    this.waiting.delete(load.id);
    this.held.set(load.id, {load, grantedAt: now});
    if (load.waiters === 0) {
      this.nextPrefetchAt =
        now + this.averageLoadMs / (1 - this.options.prefetchReserve);
    }
    return load;
  }

  /** Whether the load holds a permit. */
  isHeld(id: string): boolean {
    return this.held.has(id);
  }

  /** Time for which the load has held its permit, in milliseconds; 0 if it holds none. */
  heldForMs(id: string, now: number): number {
    return now - (this.held.get(id)?.grantedAt ?? now);
  }

  /** Releases the permit of a load. */
  release(id: string, outcome: PermitOutcome, now: number): void {
    const held = this.held.get(id);
    this.held.delete(id);
    if (held === undefined || outcome === 'unused') {
      return;
    }
    const {model} = held.load;
    if (outcome === 'failed') {
      this.recordFailure(model, now);
      return;
    }
    this.failures.delete(model);
    this.averageLoadMs +=
      LATEST_LOAD_WEIGHT * (now - held.grantedAt - this.averageLoadMs);
  }

  /** Next time at which a delayed load may run or a permit expires; undefined if there is none. */
  nextEventAt(now: number): number | undefined {
    if (this.waiting.size === 0) {
      return undefined;
    }
    const expiries = [...this.held.values()].map(
      held => held.grantedAt + this.options.validMs,
    );
    const times = [...this.waiting.values()].map(load =>
      Math.max(
        this.failures.get(load.model)?.retryAt ?? now,
        load.waiters === 0 ? this.nextPrefetchAt : now,
      ),
    );
    const futureTimes = [...times, ...expiries].filter(time => time > now);
    return futureTimes.length === 0 ? undefined : Math.min(...futureTimes);
  }

  private eligibleLoads(now: number): RequestedLoad[] {
    const ready = [...this.waiting.values()].filter(
      load => (this.failures.get(load.model)?.retryAt ?? now) <= now,
    );
    const demanded = ready.filter(load => load.waiters > 0);
    if (demanded.length > 0) {
      return demanded;
    }
    return this.held.size === 0 && now >= this.nextPrefetchAt ? ready : [];
  }

  private selectLateLoads(demanded: readonly RequestedLoad[], now: number) {
    const {overloadPatience} = this.options;
    const patience = this.overload.isOverloaded
      ? overloadPatience()
      : this.options.patience();
    return patience === 0
      ? demanded.filter(load => load.deadline <= now)
      : findLateLoads(demanded, {
          storeFreeAt: this.nextFreeAt(now),
          loadMs: this.averageLoadMs / this.options.loadsAtOnce,
          patience,
        });
  }

  /** The queue is too long if some of its loads would be late under the overload patience. */
  private recordQueueLength(
    demanded: readonly RequestedLoad[],
    now: number,
  ): void {
    const {overloadPatience, loadsAtOnce} = this.options;
    const late = findLateLoads(demanded, {
      storeFreeAt: this.nextFreeAt(now),
      loadMs: this.averageLoadMs / loadsAtOnce,
      patience: overloadPatience(),
    });
    this.overload.update(late.length > 0, now);
  }

  private nextFreeAt(now: number): number {
    if (this.held.size < this.options.loadsAtOnce) {
      return now;
    }
    const ends = [...this.held.values()].map(
      held => held.grantedAt + this.averageLoadMs,
    );
    return Math.max(now, Math.min(...ends));
  }

  private recordFailure(model: string, now: number): void {
    const count = (this.failures.get(model)?.count ?? 0) + 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** (count - 1),
    );
    this.failures.delete(model);
    this.failures.set(model, {count, retryAt: now + backoffMs});
    if (this.failures.size > MAX_TRACKED_FAILURES) {
      const [oldest] = this.failures.keys();
      this.failures.delete(oldest);
    }
  }

  private expirePermits(now: number): void {
    for (const [id, held] of this.held) {
      if (now - held.grantedAt >= this.options.validMs) {
        this.held.delete(id);
      }
    }
  }
}
