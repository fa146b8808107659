import {createLoadOrder} from '@marigoldspur/load-order';
import {PermitQueue, type RequestedLoad} from '@marigoldspur/load-permits';
import type {RandomSource} from './random-source.js';
import type {EventScheduler} from './event-scheduler.js';
import type {FigureRecorder} from './figure-recorder.js';
import type {Cluster, Policy} from './workload.js';

/** Callbacks with which the store notifies the engine that requested a load. */
export interface LoadClient {
  /** Starts a permitted load; returns false if it is no longer needed or has no slot. */
  tryStartLoad(load: RequestedLoad): boolean;
  /** Called when the permit queue refuses a load. */
  onLoadRefused(load: RequestedLoad): void;
  /** Called when a started load ends; `isLoaded` is false if it failed. */
  onLoadEnded(load: RequestedLoad, isLoaded: boolean): void;
}

/** Options of a simulated store. */
export interface SimulatedStoreOptions {
  readonly cluster: Cluster;
  readonly policy: Policy;
  readonly scheduler: EventScheduler;
  readonly recorder: FigureRecorder;
  readonly random: RandomSource;
}

const MS_PER_SECOND = 1_000;
const PERMIT_VALID_MS = 60_000;
const QUEUE_LIMIT = 2_000;
/** Fraction of the store's time that prefetches leave free. */
const PREFETCH_RESERVE = 0.5;

/** The weight store and its permit queue; it runs permitted loads one at a time. */
export class SimulatedStore {
  /** Factor by which the duration of loads is multiplied. */
  slowdownFactor = 1;
  /** Fraction of loads that fail. */
  failingShare = 0;
  private readonly queue: PermitQueue;
  /** The client of each requested load, by load ID. */
  private readonly clients = new Map<string, LoadClient>();
  private lastRecordedAt = 0;

  constructor(private readonly options: SimulatedStoreOptions) {
    const {policy} = options;
    const order = createLoadOrder(policy.loadOrder);
    this.queue = new PermitQueue({
      order: () => order,
      loadsAtOnce: 1,
      validMs: PERMIT_VALID_MS,
      queueLimit: QUEUE_LIMIT,
      patience: () => policy.patience,
      overloadPatience: () => policy.overloadPatience ?? policy.patience,
      overloadAfterMs: () => policy.overloadAfterMs,
      overloadEndsAfterMs: policy.overloadEndsAfterMs,
      prefetchReserve: PREFETCH_RESERVE,
    });
  }

  /** Number of waiting loads. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Requests a load, or updates an earlier request with the same ID. */
  requestLoad(load: RequestedLoad, client: LoadClient): void {
    this.recordQueueLength();
    this.clients.set(load.id, client);
    this.queue.enqueue(load);
    this.processQueue();
  }

  /** Withdraws the request for a load. */
  withdraw(id: string): void {
    this.recordQueueLength();
    this.queue.withdraw(id);
  }

  private processQueue(): void {
    const {scheduler, cluster} = this.options;
    for (const load of this.queue.dropLate(scheduler.now)) {
      this.clients.get(load.id)?.onLoadRefused(load);
    }
    let load = this.queue.grantNext(scheduler.now);
    while (load !== undefined && !this.clientFor(load).tryStartLoad(load)) {
      this.queue.release(load.id, 'unused', scheduler.now);
      load = this.queue.grantNext(scheduler.now);
    }
    if (load !== undefined) {
      const grantedLoad = load;
      const loadMs =
        (MS_PER_SECOND / cluster.loadsPerSecond) * this.slowdownFactor;
      scheduler.scheduleAfter(loadMs + cluster.oneWayMs, () =>
        this.endLoad(grantedLoad),
      );
      return;
    }
    const nextAt = this.queue.nextEventAt(scheduler.now);
    if (nextAt !== undefined) {
      scheduler.scheduleAt(nextAt, () => this.processQueue());
    }
  }

  private endLoad(load: RequestedLoad): void {
    const {scheduler, recorder, random} = this.options;
    this.recordQueueLength();
    const isLoaded = random.uniform() >= this.failingShare;
    this.queue.release(load.id, isLoaded ? 'loaded' : 'failed', scheduler.now);
    if (isLoaded) {
      recorder.recordLoad(scheduler.now);
    }
    this.clientFor(load).onLoadEnded(load, isLoaded);
    this.processQueue();
  }

  private clientFor(load: RequestedLoad): LoadClient {
    return this.clients.get(load.id)!;
  }

  private recordQueueLength(): void {
    const {scheduler, recorder} = this.options;
    recorder.recordQueueLength(
      this.queue.size,
      this.lastRecordedAt,
      scheduler.now,
    );
    this.lastRecordedAt = scheduler.now;
  }
}
