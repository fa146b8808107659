import {createLoadOrder, type LoadOrderName} from '@marigoldspur/load-order';
import type {PermitAnswer, PermitRequest} from '@marigoldspur/messages';
import type {PermitOutcome} from './permit-queue.js';
import {StorePermitScheduler} from './store-permit-scheduler.js';

/** How the loads of a weight store are ordered and refused. */
export interface StorePolicy {
  readonly loadOrder: LoadOrderName;
  /** How long the queue has to be too long until the store counts as overloaded, in milliseconds. */
  readonly overloadAfterMs: number;
  /** Share of its time that a load may wait while the store is overloaded. */
  readonly overloadPatience: number;
}

/** Options of a permit desk. */
export interface PermitManagerOptions {
  /** Loads that may run at once per store. */
  readonly loadsAtOnce: number;
  /** A permit that is not returned is free again after this, in milliseconds. */
  readonly validMs: number;
  /** The policy in force for a store. */
  readonly policyOf: (store: string) => StorePolicy;
}

const QUEUE_LIMIT = 4_096;
const PATIENCE = 1;
const OVERLOAD_ENDS_AFTER_MS = 10_000;
const RESERVE = 0.5;

/** Grants permits to load from each weight store, in the load order of the settings. */
export class PermitManager {
  private readonly stores = new Map<string, StorePermitScheduler>();

  constructor(private readonly options: PermitManagerOptions) {}

  /** Waits up to the request's `waitMs` for a permit or a refusal. */
  acquire(request: PermitRequest): Promise<PermitAnswer> {
    return this.storeOf(request.store).acquire(request);
  }

  /** Returns a permit. */
  release(permit: string, use: PermitOutcome): void {
    for (const store of this.stores.values()) {
      if (store.release(permit, use)) {
        return;
      }
    }
  }

  /**
   * Takes an agent's report of the models that it loads or waits for at time `now`. A permit whose
   * answer was lost, or that a question of long ago was granted, is free again at once.
   */
  reconcile(agent: string, loading: readonly string[], now: number): void {
    this.stores.forEach(store => store.reconcile(agent, loading, now));
  }

  private storeOf(name: string): StorePermitScheduler {
    let store = this.stores.get(name);
    if (store === undefined) {
      store = this.openStore(name);
      this.stores.set(name, store);
    }
    return store;
  }

  private openStore(name: string): StorePermitScheduler {
    const {loadsAtOnce, validMs, policyOf} = this.options;
    return new StorePermitScheduler({
      loadsAtOnce,
      validMs,
      queueLimit: QUEUE_LIMIT,
      order: () => createLoadOrder(policyOf(name).loadOrder),
      patience: () => PATIENCE,
      overloadPatience: () => policyOf(name).overloadPatience,
      overloadAfterMs: () => policyOf(name).overloadAfterMs,
      overloadEndsAfterMs: OVERLOAD_ENDS_AFTER_MS,
      prefetchReserve: RESERVE,
    });
  }
}
