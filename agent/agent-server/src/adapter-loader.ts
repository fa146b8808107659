import PQueue from 'p-queue';
import {Result} from 'true-myth';
import type {Pin, SlotTable} from '@marigoldspur/adapter-slots';
import {ChangeSignal} from '@marigoldspur/change-signal';
import type {EventLog} from '@marigoldspur/event-log';
import {Fault, Refusal, toFault} from '@marigoldspur/faults';
import {LoadBackoff, LoadTimeEstimator} from '@marigoldspur/load-timing';
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

/** Options of an adapter loader. */
export interface AdapterLoaderOptions {
  readonly agent: string;
  readonly slots: SlotTable;
  readonly resident: ResidentAdapters;
  readonly orderExecutor: SlotOrderExecutor;
  readonly leaseManager: LeaseManager;
  readonly limiter: LoadLimiter;
  readonly prefetcher: Prefetcher;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
  readonly backoff?: LoadBackoff;
}

/**
 * Maximum number of loads that request a permit concurrently. Further loads are
 * queued by priority.
 */
const MAX_PERMIT_REQUESTS = 32;
const SLOT_WAIT_MS = 250;
const LOWEST_PRIORITY = 9;
const MS_PER_SECOND = 1_000;
const MAX_RETRY_AFTER_SECONDS = 60;

/** Loads adapters into the slots of one engine and pins them for requests. */
export class AdapterLoader {
  private readonly loads = new Map<string, PendingLoad>();
  private readonly queue = new PQueue({concurrency: MAX_PERMIT_REQUESTS});
  private readonly released = new ChangeSignal();
  private readonly loadTimes = new LoadTimeEstimator();
  private readonly backoff: LoadBackoff;
  private lastEndedAt = 0;
  /**
   * Number of loads that are waiting for a permit. Each of them will occupy a
   * slot.
   */
  private awaitingPermit = 0;

  constructor(private readonly options: AdapterLoaderOptions) {
    this.backoff = options.backoff ?? new LoadBackoff();
  }

  /** Number of requests that are waiting for a load. */
  get waiting(): number {
    return [...this.loads.values()].reduce(
      (sum, load) => sum + load.waiters,
      0,
    );
  }

  /** Adapters that are being loaded or that requests are waiting for. */
  get loading(): string[] {
    return [...this.loads.keys(), ...this.options.prefetcher.models];
  }

  /** Current demand of requests for slots. */
  get demand(): SlotDemand {
    return {
      awaitingPermit: this.awaitingPermit,
      models: [...this.loads.keys()],
    };
  }

  /**
   * Pins an adapter, loading it first if necessary. Concurrent requests for an
   * adapter share one load.
   */
  async acquire(request: AdapterRequest): Promise<Result<Pin, Refusal>> {
    const startedAt = performance.now();
    while (!request.signal.aborted && performance.now() < request.deadlineMs) {
      const pin = this.options.slots.pin(request.model, performance.now());
      if (pin !== undefined && this.hasDifferentDigest(request)) {
        pin.release(performance.now());
        return Result.err(this.refuseDigest(request));
      }
      if (pin !== undefined) {
        const stallMs = performance.now() - startedAt;
        this.options.metrics.loadStall.observe(stallMs / MS_PER_SECOND);
        return Result.ok(this.notifyOnRelease(pin));
      }
      const prefetch = this.options.prefetcher.yieldToRequest(request.model);
      if (prefetch !== undefined) {
        await waitUntilAbandoned(request, prefetch);
        continue;
      }
      const refusal = this.refuseEarly(request, performance.now());
      if (refusal !== undefined) {
        return Result.err(refusal);
      }
      const {retryAfterMs} = await this.joinLoad(request);
      if (retryAfterMs !== undefined) {
        const message = 'the load would finish after the deadline';
        return Result.err(loadRefusal('load_too_late', message, retryAfterMs));
      }
    }
    return Result.err(
      loadRefusal(
        'load_too_late',
        'the adapter was not loaded before the deadline',
        1_000,
      ),
    );
  }

  /**
   * Pins an adapter for a stream that continues; returns undefined if the
   * adapter has no slot.
   */
  pinExisting(model: string): Pin | undefined {
    const pin = this.options.slots.pinExisting(model, performance.now());
    return pin && this.notifyOnRelease(pin);
  }

  /** Records that the engine lists an adapter but does not serve it. */
  distrust(model: string): void {
    this.options.slots.distrust(model);
    this.options.events.record('adapter-distrusted', {model});
    this.backoff.recordFailure(model, performance.now());
  }

  private hasDifferentDigest({model, digest}: AdapterRequest): boolean {
    return this.options.resident.hasDifferentDigest(model, digest);
  }

  /**
   * Marks the adapter as distrusted, so that it is reloaded for a later
   * request, and creates the refusal.
   */
  private refuseDigest({model, digest}: AdapterRequest): Refusal {
    this.options.events.record('digest-differs', {model, digest});
    this.distrust(model);
    const delayMs = this.backoff.remainingDelayMs(model, performance.now());
    const message = 'the digest of the loaded weights differs from the version';
    return loadRefusal('wrong_digest', message, delayMs);
  }

  /**
   * Returns a refusal if a load cannot serve the request; otherwise undefined.
   */
  private refuseEarly(
    request: AdapterRequest,
    now: number,
  ): Refusal | undefined {
    const delayMs = this.backoff.remainingDelayMs(request.model, now);
    if (delayMs > 0 && !this.loads.has(request.model)) {
      const message = 'the load failed and is retried after a delay';
      return loadRefusal('load_failed', message, delayMs);
    }
    if (this.loads.has(request.model)) {
      return undefined;
    }
    const waitMs = this.loadTimes.estimateWaitMs(this.loads.size);
    return now + waitMs > request.deadlineMs
      ? loadRefusal(
          'load_too_late',
          'the load would finish after the deadline',
          waitMs,
        )
      : undefined;
  }

  private notifyOnRelease(pin: Pin): Pin {
    return {
      model: pin.model,
      release: now => {
        pin.release(now);
        this.released.notify();
      },
    };
  }

  private async joinLoad(request: AdapterRequest): Promise<PendingLoad> {
    const load = this.loads.get(request.model) ?? this.startLoad(request);
    await load.wait(request);
    return load;
  }

  private startLoad(request: AdapterRequest): PendingLoad {
    const load = new PendingLoad(request, performance.now());
    this.loads.set(request.model, load);
    const run = async () => {
      const result = await this.run(load);
      this.loads.delete(request.model);
      this.recordResult(load, result);
      load.complete();
    };
    void this.queue.add(run, {priority: LOWEST_PRIORITY - request.priority});
    return load;
  }

  private recordResult(
    load: PendingLoad,
    result: Result<unknown, Fault>,
  ): void {
    const {events, metrics} = this.options;
    const {model} = load;
    const now = performance.now();
    if (result.isOk) {
      this.loadTimes.recordDuration(
        now - Math.max(load.requestedAt, this.lastEndedAt),
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
      if (!this.hasFreeSlot()) {
        await this.released.wait(SLOT_WAIT_MS);
        continue;
      }
      const result = await this.loadOnce(load);
      if (result.isOk || result.error.code !== 'CONFLICT') {
        return result;
      }
      await this.released.wait(SLOT_WAIT_MS);
    }
    return Result.err(
      new Fault('TIMEOUT', 'no request is waiting for the load'),
    );
  }

  /** Whether a slot is available for one more load that requests a permit. */
  private hasFreeSlot(): boolean {
    const {leaseManager, slots} = this.options;
    const mayOrder = leaseManager.mayOrder(performance.now());
    return mayOrder && slots.available > this.awaitingPermit;
  }

  /** Requests a permit and reserves a slot only once the permit is granted. */
  private async loadOnce(load: PendingLoad): Promise<Result<unknown, Fault>> {
    const {agent, limiter, orderExecutor, slots} = this.options;
    this.awaitingPermit += 1;
    const getRequest = () => ({
      ...load.createPermitRequest(agent),
      loading: this.loading,
    });
    const permit = await limiter.acquire(getRequest, load.signal);
    this.awaitingPermit -= 1;
    if (permit.isErr) {
      return permit;
    }
    const reservation = load.signal.aborted
      ? undefined
      : slots.reserve(load.model, performance.now());
    if (reservation === undefined) {
      permit.value.release(false, false);
      return Result.err(new Fault('CONFLICT', 'no slot is available'));
    }
    try {
      const result = await orderExecutor.execute(reservation, load.digest);
      permit.value.release(result.isOk);
      return result;
    } catch (thrown) {
      slots.cancel(reservation, false);
      permit.value.release(false);
      return Result.err(toFault(thrown));
    }
  }
}

function loadRefusal(
  reason: string,
  message: string,
  retryMs: number,
): Refusal {
  const seconds = Math.max(1, Math.ceil(retryMs / MS_PER_SECOND));
  return new Refusal(
    'not-run',
    503,
    reason,
    message,
    Math.min(MAX_RETRY_AFTER_SECONDS, seconds),
  );
}
