import {createLoadOrder} from '@marigoldspur/load-order';
import {PermitQueue, type RequestedLoad} from '@marigoldspur/load-permits';
import type {RandomSource} from './random-source.js';
import type {Schedule} from './schedule.js';
import type {Tally} from './tally.js';
import type {Cluster, Policy} from './workload.js';

/** What the store tells the engine that asked for a load. */
export interface LoadClient {
  /** Whether the load is still wanted and has a slot; it begins if so. */
  granted(load: RequestedLoad): boolean;
  refused(load: RequestedLoad): void;
  ended(load: RequestedLoad, loaded: boolean): void;
}

/** A store that runs permitted loads, one at a time. */
export interface StoreFakeOptions {
  readonly cluster: Cluster;
  readonly policy: Policy;
  readonly schedule: Schedule;
  readonly tally: Tally;
  readonly random: RandomSource;
}

const SECOND_MS = 1_000;
const PERMIT_VALID_MS = 60_000;
const QUEUE_LIMIT = 2_000;
/** Share of the store's time that prefetches leave free. */
const PREFETCH_RESERVE = 0.5;

/** The weight store with the permit queue before it. */
export class StoreFake {
  /** Times that a load takes as long. */
  slowness = 1;
  /** Share of the loads that fail. */
  failingShare = 0;
  private readonly queue: PermitQueue;
  private readonly clients = new Map<string, LoadClient>();
  private changedAt = 0;

  constructor(private readonly options: StoreFakeOptions) {
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

  /** Loads that wait. */
  get waiting(): number {
    return this.queue.size;
  }

  /** Asks for a load, or brings an earlier question up to date. */
  ask(load: RequestedLoad, client: LoadClient): void {
    this.noteQueue();
    this.clients.set(load.id, client);
    this.queue.enqueue(load);
    this.pump();
  }

  /** Takes a question back. */
  withdraw(id: string): void {
    this.noteQueue();
    this.queue.withdraw(id);
  }

  private pump(): void {
    const {schedule, cluster} = this.options;
    for (const load of this.queue.dropLate(schedule.now)) {
      this.clients.get(load.id)?.refused(load);
    }
    let load = this.queue.grantNext(schedule.now);
    while (load !== undefined && !this.clientOf(load).granted(load)) {
      this.queue.release(load.id, 'unused', schedule.now);
      load = this.queue.grantNext(schedule.now);
    }
    if (load !== undefined) {
      const granted = load;
      const loadMs = (SECOND_MS / cluster.loadsPerSecond) * this.slowness;
      schedule.after(loadMs + cluster.oneWayMs, () => this.end(granted));
      return;
    }
    const nextAt = this.queue.nextEventAt(schedule.now);
    if (nextAt !== undefined) {
      schedule.at(nextAt, () => this.pump());
    }
  }

  private end(load: RequestedLoad): void {
    const {schedule, tally, random} = this.options;
    this.noteQueue();
    const loaded = random.uniform() >= this.failingShare;
    this.queue.release(load.id, loaded ? 'loaded' : 'failed', schedule.now);
    if (loaded) {
      tally.loaded(schedule.now);
    }
    this.clientOf(load).ended(load, loaded);
    this.pump();
  }

  private clientOf(load: RequestedLoad): LoadClient {
    return this.clients.get(load.id)!;
  }

  private noteQueue(): void {
    const {schedule, tally} = this.options;
    tally.queued(this.queue.size, this.changedAt, schedule.now);
    this.changedAt = schedule.now;
  }
}
