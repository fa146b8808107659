import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {Pin, SlotTable} from '@marigoldspur/adapter-slots';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, Refusal, toFault} from '@marigoldspur/faults';
import {LoadBackoff, LoadTimeEstimator} from '@marigoldspur/load-queue';
import type {AgentMetrics} from './agent-metrics.js';
import type {LeaseManager} from './lease-manager.js';
import {LoadRefused, type LoadLimiter} from './load-limiter.js';
import {
  waitUntilAbandoned,
  PendingLoad,
  type AdapterRequest,
} from './pending-load.js';
import type {Prefetcher, SlotDemand} from './prefetcher.js';
import type {ResidentAdapters} from './resident-adapters.js';
import type {SlotOrderExecutor} from './slot-order-executor.js';

/** What an adapter host works with. */
export interface AdapterLoaderOptions {
  readonly agent: string;
  readonly slots: SlotTable;
  readonly resident: ResidentAdapters;
  readonly orders: SlotOrderExecutor;
  readonly keeper: LeaseManager;
  readonly gate: LoadLimiter;
  readonly prefetches: Prefetcher;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly backoff?: LoadBackoff;
}

/** Loads that ask for a permit at once; more wait by priority. */
const LOADS_ASKING = 32;
const SLOT_WAIT_MS = 250;
const MAX_PRIORITY = 9;
const SECOND_MS = 1_000;
const LONGEST_RETRY_SECONDS = 60;

/** Brings adapters into the slots of one engine and pins them for requests. */
export class AdapterLoader {
  private readonly loads = new Map<string, PendingLoad>();
  private readonly queue = new PQueue({concurrency: LOADS_ASKING});
  private readonly released = new ChangeSignal();
  private readonly forecast = new LoadTimeEstimator();
  private readonly backoff: LoadBackoff;
  private lastEndedAt = 0;
  /** Loads that wait for a permit, each of which will take a slot. */
  private asking = 0;

  constructor(private readonly options: AdapterLoaderOptions) {
    this.backoff = options.backoff ?? new LoadBackoff();
  }

  /** Requests that wait for a load. */
  get waiting(): number {
    return [...this.loads.values()].reduce(
      (sum, load) => sum + load.waiters,
      0,
    );
  }

  /** Adapters that requests wait for or that are being loaded. */
  get loading(): string[] {
    return [...this.loads.keys(), ...this.options.prefetches.models];
  }

  /** What requests ask of the slots at present. */
  get demand(): SlotDemand {
    return {asking: this.asking, models: [...this.loads.keys()]};
  }

  /** Pins an adapter, after a load shared with others who need it. */
  async acquire(need: AdapterRequest): Promise<Result<Pin, Refusal>> {
    const startedAt = performance.now();
    while (!need.signal.aborted && performance.now() < need.deadlineMs) {
      const pin = this.options.slots.pin(need.model, performance.now());
      if (pin !== undefined && this.hasOtherWeights(need)) {
        pin.release(performance.now());
        return Result.err(this.refuseWeights(need));
      }
      if (pin !== undefined) {
        const stallMs = performance.now() - startedAt;
        this.options.metrics.loadStall.observe(stallMs / SECOND_MS);
        return Result.ok(this.announceRelease(pin));
      }
      const ahead = this.options.prefetches.takeOver(need.model);
      if (ahead !== undefined) {
        await waitUntilAbandoned(need, ahead);
        continue;
      }
      const hopeless = this.hopeless(need, performance.now());
      if (hopeless !== undefined) {
        return Result.err(hopeless);
      }
      const {retryAfterMs} = await this.shareLoad(need);
      if (retryAfterMs !== undefined) {
        const message = 'the load would end too late';
        return Result.err(notLoaded('load_too_late', message, retryAfterMs));
      }
    }
    return Result.err(
      notLoaded('load_too_late', 'the adapter was not loaded in time', 1_000),
    );
  }

  /** Pins an adapter for a stream that goes on; undefined where it has no slot. */
  pinHeld(model: string): Pin | undefined {
    const pin = this.options.slots.pinExisting(model, performance.now());
    return pin && this.announceRelease(pin);
  }

  /** Takes note that the engine does not serve an adapter that it lists. */
  distrust(model: string): void {
    this.options.slots.distrust(model);
    this.options.events.record('adapter-distrusted', {model});
    this.backoff.recordFailure(model, performance.now());
  }

  private hasOtherWeights({model, digest}: AdapterRequest): boolean {
    return this.options.resident.differs(model, digest);
  }

  /** The adapter takes no request any more, and is loaded anew for a later one. */
  private refuseWeights({model, digest}: AdapterRequest): Refusal {
    this.options.events.record('digest-differs', {model, digest});
    this.distrust(model);
    const pauseMs = this.backoff.remainingDelayMs(model, performance.now());
    const message = 'the engine holds other weights than the version names';
    return notLoaded('wrong_digest', message, pauseMs);
  }

  /** Why a load can't serve a need; undefined when it may. */
  private hopeless(need: AdapterRequest, now: number): Refusal | undefined {
    const pauseMs = this.backoff.remainingDelayMs(need.model, now);
    if (pauseMs > 0 && !this.loads.has(need.model)) {
      const message = 'the load failed and is tried again later';
      return notLoaded('load_failed', message, pauseMs);
    }
    if (this.loads.has(need.model)) {
      return undefined;
    }
    const waitMs = this.forecast.estimateWaitMs(this.loads.size);
    return now + waitMs > need.deadlineMs
      ? notLoaded('load_too_late', 'the load would end too late', waitMs)
      : undefined;
  }

  private announceRelease(pin: Pin): Pin {
    return {
      model: pin.model,
      release: now => {
        pin.release(now);
        this.released.notify();
      },
    };
  }

  private async shareLoad(need: AdapterRequest): Promise<PendingLoad> {
    const load = this.loads.get(need.model) ?? this.startLoad(need);
    await load.wait(need);
    return load;
  }

  private startLoad(need: AdapterRequest): PendingLoad {
    const load = new PendingLoad(need, performance.now());
    this.loads.set(need.model, load);
    const run = async () => {
      const result = await this.run(load);
      this.loads.delete(need.model);
      this.takeResult(load, result);
      load.settle();
    };
    void this.queue.add(run, {priority: MAX_PRIORITY - need.priority});
    return load;
  }

  private takeResult(load: PendingLoad, result: Result<unknown, Fault>): void {
    const {events, metrics} = this.options;
    const {model} = load;
    const now = performance.now();
    if (result.isOk) {
      this.forecast.recordDuration(
        now - Math.max(load.askedAt, this.lastEndedAt),
      );
      this.lastEndedAt = now;
      this.backoff.recordSuccess(model);
      metrics.loads.inc({outcome: 'loaded'});
    } else if (result.error instanceof LoadRefused) {
      load.refuse(result.error.retryAfterMs);
      events.record('load-refused', {model});
      metrics.loads.inc({outcome: 'refused'});
    } else if (result.error.code === 'TIMEOUT') {
      events.record('load-dropped', {model});
      metrics.loads.inc({outcome: 'dropped'});
    } else {
      const pauseMs = Math.round(this.backoff.recordFailure(model, now));
      events.record('load-backed-off', {model, pauseMs});
      metrics.loads.inc({outcome: 'failed'});
    }
    this.released.notify();
  }

  private async run(load: PendingLoad): Promise<Result<unknown, Fault>> {
    while (!load.signal.aborted) {
      if (!this.hasRoom()) {
        await this.released.wait(SLOT_WAIT_MS);
        continue;
      }
      const result = await this.tryOnce(load);
      if (result.isOk || result.error.code !== 'CONFLICT') {
        return result;
      }
      await this.released.wait(SLOT_WAIT_MS);
    }
    return Result.err(new Fault('TIMEOUT', 'nobody waits any more'));
  }

  /** Whether a slot is left for one more load that asks for a permit. */
  private hasRoom(): boolean {
    const {keeper, slots} = this.options;
    const mayOrder = keeper.mayOrder(performance.now());
    return mayOrder && slots.available > this.asking;
  }

  /** Asks for a permit, and only with it takes a slot. */
  private async tryOnce(load: PendingLoad): Promise<Result<unknown, Fault>> {
    const {agent, gate, orders, slots} = this.options;
    this.asking += 1;
    const ask = () => ({...load.ask(agent), loading: this.loading});
    const ticket = await gate.acquire(ask, load.signal);
    this.asking -= 1;
    if (ticket.isErr) {
      return ticket;
    }
    const reservation = load.signal.aborted
      ? undefined
      : slots.reserve(load.model, performance.now());
    if (reservation === undefined) {
      ticket.value.release(false, false);
      return Result.err(new Fault('CONFLICT', 'no slot is free'));
    }
    try {
      const result = await orders.execute(reservation, load.digest);
      ticket.value.release(result.isOk);
      return result;
    } catch (thrown) {
      slots.cancel(reservation, false);
      ticket.value.release(false);
      return Result.err(toFault(thrown));
    }
  }
}

function notLoaded(reason: string, message: string, retryMs: number): Refusal {
  const seconds = Math.max(1, Math.ceil(retryMs / SECOND_MS));
  return new Refusal(
    'not-run',
    503,
    reason,
    message,
    Math.min(LONGEST_RETRY_SECONDS, seconds),
  );
}
