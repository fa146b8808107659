import type {SlotReservation, SlotTable} from '@marigoldspur/adapter-slots';
import type {EventLog} from '@marigoldspur/event-log';
import type {AgentMetrics} from './agent-metrics.js';
import type {LeaseManager} from './lease-manager.js';
import type {
  LoadPermitRequest,
  LoadLimiter,
  LoadPermit,
} from './load-limiter.js';
import type {Successor} from './find-successors.js';
import type {SlotOrderExecutor} from './slot-order-executor.js';

/** Demand of requests for slots at a point in time. */
export interface SlotDemand {
  /**
   * Number of loads that are waiting for a permit. Each of them will occupy a
   * slot.
   */
  readonly awaitingPermit: number;
  /** Adapters that requests are waiting for, as `adapter@version`. */
  readonly models: readonly string[];
}

/** Options of a prefetcher. */
export interface PrefetcherOptions {
  readonly agent: string;
  readonly slots: SlotTable;
  readonly orderExecutor: SlotOrderExecutor;
  readonly leaseManager: LeaseManager;
  readonly limiter: LoadLimiter;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly demand: () => SlotDemand;
}

interface Prefetch {
  readonly successor: Successor;
  readonly abortController: AbortController;
  /** Whether the load order was sent to the engine. */
  hasStarted: boolean;
  ended: Promise<void>;
}

/** A prefetch is abandoned if no permit becomes available within this time. */
const PERMIT_TIMEOUT_MS = 60_000;
const LOWEST_PRIORITY = 9;

/**
 * Loads new versions before their first request, using only permits that no
 * request is waiting for and slots that no request needs.
 */
export class Prefetcher {
  private readonly prefetches = new Map<string, Prefetch>();

  constructor(private readonly options: PrefetcherOptions) {}

  /** Adapters with a running or waiting prefetch, as `adapter@version`. */
  get models(): string[] {
    return [...this.prefetches.keys()];
  }

  /**
   * Starts a prefetch at time `now` if its predecessor is resident and would
   * not be evicted for it.
   */
  start(successor: Successor, now: number): void {
    const {model, predecessor} = successor;
    const {demand, slots} = this.options;
    if (
      this.prefetches.has(model) ||
      demand().models.includes(model) ||
      !slots.admitSuccessor(model, predecessor, now)
    ) {
      return;
    }
    const abortController = new AbortController();
    const prefetch = {
      successor,
      abortController,
      hasStarted: false,
      ended: Promise.resolve(),
    };
    this.prefetches.set(model, prefetch);
    prefetch.ended = this.run(prefetch);
  }

  /**
   * Gives precedence to a request for the same adapter. A waiting prefetch is
   * cancelled, so that the request can obtain its own permit. If the load order
   * has already been sent, returns a promise that resolves when the prefetch
   * ends.
   */
  yieldToRequest(model: string): Promise<void> | undefined {
    const prefetch = this.prefetches.get(model);
    if (prefetch?.hasStarted) {
      return prefetch.ended;
    }
    prefetch?.abortController.abort();
    this.prefetches.delete(model);
    return undefined;
  }

  private async run(prefetch: Prefetch): Promise<void> {
    const {successor, abortController} = prefetch;
    const timer = setTimeout(() => abortController.abort(), PERMIT_TIMEOUT_MS);
    const createPermitRequest = () => this.createPermitRequest(successor);
    const permit = await this.options.limiter.acquire(
      createPermitRequest,
      abortController.signal,
    );
    clearTimeout(timer);
    if (permit.isOk) {
      await this.load(prefetch, permit.value);
    }
    if (this.prefetches.get(successor.model) === prefetch) {
      this.prefetches.delete(successor.model);
    }
  }

  private async load(prefetch: Prefetch, permit: LoadPermit): Promise<void> {
    const {events, metrics} = this.options;
    const {model, predecessor} = prefetch.successor;
    const reservation = this.reserve(prefetch, performance.now());
    if (reservation === undefined) {
      permit.release(false, false);
      return;
    }
    prefetch.hasStarted = true;
    events.record('prefetch-begun', {model, predecessor});
    const loaded = await this.execute(prefetch, reservation);
    permit.release(loaded);
    metrics.loads.inc({outcome: loaded ? 'prefetched' : 'failed'});
  }

  /**
   * Reserves a slot that no request needs and whose adapter is less valuable
   * than the new version.
   */
  private reserve(
    {abortController, successor}: Prefetch,
    now: number,
  ): SlotReservation | undefined {
    const {demand, leaseManager, slots} = this.options;
    const {model, predecessor} = successor;
    const mayLoad =
      !abortController.signal.aborted &&
      leaseManager.mayOrder(now) &&
      slots.available > demand().awaitingPermit &&
      slots.admitSuccessor(model, predecessor, now);
    return mayLoad ? slots.reserve(model, now) : undefined;
  }

  private async execute(
    {successor}: Prefetch,
    reservation: SlotReservation,
  ): Promise<boolean> {
    const {orderExecutor, slots} = this.options;
    try {
      const result = await orderExecutor.execute(reservation, successor.digest);
      return result.isOk;
    } catch {
      slots.cancel(reservation, false);
      return false;
    }
  }

  private createPermitRequest({model, store}: Successor): LoadPermitRequest {
    return {
      store,
      agent: this.options.agent,
      model,
      waiters: 0,
      priority: LOWEST_PRIORITY,
      oldestWaitMs: 0,
      loading: [...this.options.demand().models, ...this.models],
    };
  }
}
