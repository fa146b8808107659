import {createLoadOrder, type LoadOrderName} from '@marigoldspur/load-order';
import type {PermitAnswer, PermitRequest} from '@marigoldspur/messages';
import type {PermitOutcome} from './permit-queue.js';
import {StorePermitScheduler} from './store-permit-scheduler.js';

/** How the loads of a weight store are ordered and when they are refused. */
export interface StorePolicy {
  readonly loadOrder: LoadOrderName;
  /** Time for which the queue must be too long before the store counts as overloaded, in milliseconds. */
  readonly overloadAfterMs: number;
  /** Fraction of its time to the deadline that a load may wait while the store is overloaded. */
  readonly overloadPatience: number;
}

/** Options of a permit manager. */
export interface PermitManagerOptions {
  /** Maximum number of concurrent loads per store. */
  readonly loadsAtOnce: number;
  /** Time after which an unreturned permit expires, in milliseconds. */
  readonly validMs: number;
  /** Returns the current policy of a store. */
  readonly policyOf: (store: string) => StorePolicy;
}

/** Maximum number of waiting loads per store. */
const MAX_WAITING_LOADS = 4_096;
/** Fraction of its time to the deadline that a load may wait while the store is not overloaded. */
const NORMAL_PATIENCE_FRACTION = 1;
const OVERLOAD_ENDS_AFTER_MS = 10_000;
/** Fraction of a store's time that prefetches leave free. */
const PREFETCH_RESERVE_FRACTION = 0.5;

/** Grants permits to load from each weight store, in the order given by its policy. */
export class PermitManager {
  private readonly schedulers = new Map<string, StorePermitScheduler>();

  constructor(private readonly options: PermitManagerOptions) {}

  /** Resolves with a permit or a refusal, or without either after the request's `waitMs`. */
  acquire(request: PermitRequest): Promise<PermitAnswer> {
    return this.schedulerFor(request.store).acquire(request);
  }

  /** Releases a permit; an unknown one is ignored. */
  release(permit: string, outcome: PermitOutcome): void {
    for (const scheduler of this.schedulers.values()) {
      if (scheduler.release(permit, outcome)) {
        return;
      }
    }
  }

  /**
   * Releases the permits of an agent for models that it neither loads nor waits for at
   * time `now`, according to its report. This frees permits whose answer was lost or
   * whose request the agent has abandoned.
   */
  reconcile(agent: string, loading: readonly string[], now: number): void {
    this.schedulers.forEach(scheduler =>
      scheduler.reconcile(agent, loading, now),
    );
  }

  private schedulerFor(name: string): StorePermitScheduler {
    let scheduler = this.schedulers.get(name);
    if (scheduler === undefined) {
      scheduler = this.createScheduler(name);
      this.schedulers.set(name, scheduler);
    }
    return scheduler;
  }

  private createScheduler(name: string): StorePermitScheduler {
    const {loadsAtOnce, validMs, policyOf} = this.options;
    return new StorePermitScheduler({
      loadsAtOnce,
      validMs,
      queueLimit: MAX_WAITING_LOADS,
      order: () => createLoadOrder(policyOf(name).loadOrder),
      patience: () => NORMAL_PATIENCE_FRACTION,
      overloadPatience: () => policyOf(name).overloadPatience,
      overloadAfterMs: () => policyOf(name).overloadAfterMs,
      overloadEndsAfterMs: OVERLOAD_ENDS_AFTER_MS,
      prefetchReserve: PREFETCH_RESERVE_FRACTION,
    });
  }
}
