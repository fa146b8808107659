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

/** What requests ask of the slots at a moment. */
export interface SlotDemand {
  /** Loads that wait for a permit, each of which will take a slot. */
  readonly asking: number;
  /** Adapters that requests wait for, as `adapter@version`. */
  readonly models: readonly string[];
}

/** What a prefetch desk works with. */
export interface PrefetcherOptions {
  readonly agent: string;
  readonly slots: SlotTable;
  readonly orders: SlotOrderExecutor;
  readonly keeper: LeaseManager;
  readonly gate: LoadLimiter;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly demand: () => SlotDemand;
}

interface Prefetch {
  readonly successor: Successor;
  readonly stop: AbortController;
  /** Whether the engine was ordered to load. */
  begun: boolean;
  ended: Promise<void>;
}

/** A prefetch for which no permit comes free is given up after this, in milliseconds. */
const LIFETIME_MS = 60_000;
const LOWEST_PRIORITY = 9;

/**
 * Loads new versions ahead of their first request, with permits that nobody waits for
 * and slots that no request needs.
 */
export class Prefetcher {
  private readonly prefetches = new Map<string, Prefetch>();

  constructor(private readonly options: PrefetcherOptions) {}

  /** Adapters that are prefetched or wait for it, as `adapter@version`. */
  get models(): string[] {
    return [...this.prefetches.keys()];
  }

  /** Begins a prefetch at time `now` where its predecessor is wanted. */
  begin(successor: Successor, now: number): void {
    const {model, predecessor} = successor;
    const {demand, slots} = this.options;
    if (
      this.prefetches.has(model) ||
      demand().models.includes(model) ||
      !slots.admitSuccessor(model, predecessor, now)
    ) {
      return;
    }
    const stop = new AbortController();
    const prefetch = {successor, stop, begun: false, ended: Promise.resolve()};
    this.prefetches.set(model, prefetch);
    prefetch.ended = this.run(prefetch);
  }

  /**
   * Makes way for a request: ends a prefetch that waits, so that the request asks for a
   * permit itself. The end of one that the engine works on is returned to wait for.
   */
  takeOver(model: string): Promise<void> | undefined {
    const prefetch = this.prefetches.get(model);
    if (prefetch?.begun) {
      return prefetch.ended;
    }
    prefetch?.stop.abort();
    this.prefetches.delete(model);
    return undefined;
  }

  private async run(prefetch: Prefetch): Promise<void> {
    const {successor, stop} = prefetch;
    const timer = setTimeout(() => stop.abort(), LIFETIME_MS);
    const ask = () => this.ask(successor);
    const ticket = await this.options.gate.acquire(ask, stop.signal);
    clearTimeout(timer);
    if (ticket.isOk) {
      await this.load(prefetch, ticket.value);
    }
    if (this.prefetches.get(successor.model) === prefetch) {
      this.prefetches.delete(successor.model);
    }
  }

  private async load(prefetch: Prefetch, ticket: LoadPermit): Promise<void> {
    const {events, metrics} = this.options;
    const {model, predecessor} = prefetch.successor;
    const reservation = this.reserve(prefetch, performance.now());
    if (reservation === undefined) {
      ticket.release(false, false);
      return;
    }
    prefetch.begun = true;
    events.record('prefetch-begun', {model, predecessor});
    const loaded = await this.carryOut(prefetch, reservation);
    ticket.release(loaded);
    metrics.loads.inc({outcome: loaded ? 'prefetched' : 'failed'});
  }

  /** Takes a slot that no request needs, and that is worth less than the new version. */
  private reserve(
    {stop, successor}: Prefetch,
    now: number,
  ): SlotReservation | undefined {
    const {demand, keeper, slots} = this.options;
    const {model, predecessor} = successor;
    const mayLoad =
      !stop.signal.aborted &&
      keeper.mayOrder(now) &&
      slots.available > demand().asking &&
      slots.admitSuccessor(model, predecessor, now);
    return mayLoad ? slots.reserve(model, now) : undefined;
  }

  private async carryOut(
    {successor}: Prefetch,
    reservation: SlotReservation,
  ): Promise<boolean> {
    const {orders, slots} = this.options;
    try {
      const result = await orders.execute(reservation, successor.digest);
      return result.isOk;
    } catch {
      slots.cancel(reservation, false);
      return false;
    }
  }

  private ask({model, store}: Successor): LoadPermitRequest {
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
