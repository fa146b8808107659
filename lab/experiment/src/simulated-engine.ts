import {
  SlotTable,
  type Pin,
  type SlotReservation,
} from '@marigoldspur/adapter-slots';
import type {EvictionPolicy} from '@marigoldspur/eviction';
import {createLoadOrder, type LoadOrder} from '@marigoldspur/load-order';
import type {RequestedLoad} from '@marigoldspur/load-permits';
import type {PlacementCandidate} from '@marigoldspur/placement';
import {SimulatedBatch, type PinnedRequest} from './simulated-batch.js';
import type {SimulatedRequest} from './simulated-request.js';
import type {EventScheduler} from './event-scheduler.js';
import type {LoadClient, SimulatedStore} from './simulated-store.js';
import type {FigureRecorder} from './figure-recorder.js';
import type {Cluster, Policy} from './workload.js';

/** Options of a simulated engine. */
export interface SimulatedEngineOptions {
  readonly name: string;
  readonly zone: string;
  readonly cluster: Cluster;
  readonly policy: Policy;
  readonly eviction: EvictionPolicy;
  readonly scheduler: EventScheduler;
  readonly store: SimulatedStore;
  readonly recorder: FigureRecorder;
  /** Called with each request that the engine lost or could not load an adapter for. */
  readonly onLost: (request: SimulatedRequest) => void;
  /** Called with each refused request. */
  readonly onRefused: (request: SimulatedRequest) => void;
}

interface Load {
  readonly model: string;
  /** Time at which the first waiter arrived, in milliseconds. */
  askedAt: number;
  readonly waiters: Set<SimulatedRequest>;
  state: 'needed' | 'requested' | 'loading';
  reservation?: SlotReservation;
}

/** A request counts as lost after more failed loads than this on one engine. */
const MAX_LOAD_FAILURES = 1;

/** An engine and its agent: adapter slots, waiting loads and a batch. */
export class SimulatedEngine implements LoadClient {
  /** Whether requests reach the engine and its reports reach the entries. */
  isReachable = true;
  readonly name: string;
  readonly zone: string;
  private readonly slots: SlotTable;
  private readonly loadOrder: LoadOrder;
  private readonly loads = new Map<string, Load>();
  /** Number of pins by adapter. */
  private readonly pinCounts = new Map<string, number>();
  /** Adapters that no request has used since their load. */
  private readonly unused = new Set<string>();
  private readonly batch: SimulatedBatch;

  constructor(private readonly options: SimulatedEngineOptions) {
    this.name = options.name;
    this.zone = options.zone;
    const {cluster, policy} = options;
    this.slots = new SlotTable(cluster.slots, options.eviction);
    this.loadOrder = createLoadOrder(policy.loadOrder);
    this.batch = new SimulatedBatch({
      ...options,
      onEnded: pinned => this.end(pinned),
    });
  }

  /** Returns the state that the agent of the engine reports. */
  report(): PlacementCandidate {
    const {cluster} = this.options;
    const waiting = [...this.loads.values()].reduce(
      (sum, load) => sum + load.waiters.size,
      0,
    );
    return {
      name: this.name,
      zone: this.zone,
      resident: new Set(this.slots.resident()),
      loading: new Set(this.loads.keys()),
      pinned: new Set(this.pinCounts.keys()),
      slots: cluster.slots,
      load: this.batch.load + waiting,
      batchLimit: cluster.batchLimit,
    };
  }

  /** Starts a request, or queues it until its adapter is loaded. */
  receive(request: SimulatedRequest): void {
    if (!this.isReachable) {
      this.options.onLost(request);
      return;
    }
    const pin = this.pin(request.arrival.model);
    if (pin === undefined) {
      this.waitForLoad(request);
      return;
    }
    this.start({request, pin});
  }

  /** Loads a new version before its first request if the predecessor is in demand on this engine. */
  prefetch(model: string, predecessor: string): void {
    const {now} = this.options.scheduler;
    if (
      this.isReachable &&
      this.slots.admitSuccessor(model, predecessor, now) &&
      !this.loads.has(model)
    ) {
      this.loads.set(model, {
        model,
        askedAt: now,
        waiters: new Set(),
        state: 'needed',
      });
      this.requestLoads();
    }
  }

  /** Restarts with empty slots and reports all requests as lost. */
  restart(): void {
    const {scheduler, store, cluster} = this.options;
    const requests = this.findActiveRequests();
    this.loads.forEach(load => store.withdraw(this.formatLoadId(load.model)));
    this.loads.clear();
    this.pinCounts.clear();
    this.unused.clear();
    this.batch.restart();
    this.slots.reset(cluster.slots, [], scheduler.now);
    requests.forEach(request => this.options.onLost(request));
  }

  /** Disconnects the engine. Running requests continue, but their responses are lost. */
  disconnect(): void {
    this.isReachable = false;
    const requests = this.findActiveRequests();
    for (const load of this.loads.values()) {
      this.options.store.withdraw(this.formatLoadId(load.model));
    }
    this.loads.clear();
    this.batch.drainQueue().forEach(pinned => this.unpin(pinned.pin));
    requests.forEach(request => this.options.onLost(request));
  }

  tryStartLoad(requested: RequestedLoad): boolean {
    const {scheduler, recorder} = this.options;
    const load = this.loads.get(requested.model);
    if (load?.state !== 'requested') {
      return false;
    }
    const reservation = this.slots.reserve(requested.model, scheduler.now);
    if (reservation === undefined) {
      load.state = 'needed';
      return false;
    }
    if (
      reservation.evict !== undefined &&
      this.unused.delete(reservation.evict)
    ) {
      recorder.recordUnusedEviction(scheduler.now);
    }
    load.state = 'loading';
    load.reservation = reservation;
    return true;
  }

  onLoadRefused({model}: RequestedLoad): void {
    const load = this.loads.get(model);
    if (load?.state === 'requested') {
      this.loads.delete(model);
      load.waiters.forEach(request => this.options.onRefused(request));
    }
  }

  onLoadEnded({model}: RequestedLoad, isLoaded: boolean): void {
    const load = this.loads.get(model);
    const reservation = load?.reservation;
    if (load === undefined || reservation === undefined) {
      return;
    }
    this.loads.delete(model);
    const {scheduler} = this.options;
    if (!isLoaded) {
      this.slots.cancel(reservation, false);
      load.waiters.forEach(request => this.retryLoad(request));
      this.requestLoads();
      return;
    }
    this.slots.completeLoad(reservation, scheduler.now);
    this.unused.add(model);
    load.waiters.forEach(request =>
      this.start({request, pin: this.pin(model)!}),
    );
    this.requestLoads();
  }

  private retryLoad(request: SimulatedRequest): void {
    request.loadFailures += 1;
    if (request.loadFailures > MAX_LOAD_FAILURES) {
      this.options.onLost(request);
    } else {
      this.waitForLoad(request);
    }
  }

  private findActiveRequests(): SimulatedRequest[] {
    return [
      ...[...this.loads.values()].flatMap(load => [...load.waiters]),
      ...this.batch.requests(),
    ];
  }

  private pin(model: string): Pin | undefined {
    const pin = this.slots.pin(model, this.options.scheduler.now);
    if (pin !== undefined) {
      this.unused.delete(model);
      this.pinCounts.set(model, (this.pinCounts.get(model) ?? 0) + 1);
    }
    return pin;
  }

  private unpin(pin: Pin): void {
    pin.release(this.options.scheduler.now);
    const remaining = this.pinCounts.get(pin.model)! - 1;
    if (remaining === 0) {
      this.pinCounts.delete(pin.model);
    } else {
      this.pinCounts.set(pin.model, remaining);
    }
  }

  private waitForLoad(request: SimulatedRequest): void {
    const {scheduler} = this.options;
    const {model} = request.arrival;
    const load: Load = this.loads.get(model) ?? {
      model,
      askedAt: scheduler.now,
      waiters: new Set(),
      state: 'needed',
    };
    this.loads.set(model, load);
    if (load.waiters.size === 0) {
      load.askedAt = scheduler.now;
    }
    load.waiters.add(request);
    scheduler.scheduleAt(request.deadline, () =>
      this.refuseWaiting(request, load),
    );
    if (load.state === 'requested') {
      this.requestLoad(load);
    }
    this.requestLoads();
  }

  private refuseWaiting(request: SimulatedRequest, load: Load): void {
    if (this.loads.get(load.model) !== load || !load.waiters.has(request)) {
      return;
    }
    load.waiters.delete(request);
    this.options.onRefused(request);
    if (load.waiters.size === 0 && load.state !== 'loading') {
      this.options.store.withdraw(this.formatLoadId(load.model));
      this.loads.delete(load.model);
      this.requestLoads();
    }
  }

  /** Requests as many loads as there are usable slots: first those that requests wait for, in load order, then prefetches. */
  private requestLoads(): void {
    const needed = [...this.loads.values()]
      .filter(load => load.state === 'needed')
      .map(load => this.toRequestedLoad(load));
    const available =
      this.countUsableSlots() - this.countRequestedDemandedLoads();
    if (available <= 0 || needed.length === 0) {
      return;
    }
    const {now} = this.options.scheduler;
    const demanded = needed.filter(load => load.waiters > 0);
    const prefetches = needed.filter(load => load.waiters === 0);
    const ordered = [...this.loadOrder.sort(demanded, now), ...prefetches];
    for (const {model} of ordered.slice(0, available)) {
      const load = this.loads.get(model);
      if (load?.state === 'needed') {
        load.state = 'requested';
        this.requestLoad(load);
      }
    }
  }

  private requestLoad(load: Load): void {
    this.options.store.requestLoad(this.toRequestedLoad(load), this);
  }

  private toRequestedLoad(load: Load): RequestedLoad {
    const deadlines = [...load.waiters].map(request => request.deadline);
    return {
      id: this.formatLoadId(load.model),
      model: load.model,
      askedAt: load.askedAt,
      waiters: load.waiters.size,
      priority: 5,
      deadline: Math.max(load.askedAt, ...deadlines),
    };
  }

  private formatLoadId(model: string): string {
    return `${this.name} ${model}`;
  }

  private countLoads(state: Load['state']): number {
    return [...this.loads.values()].filter(load => load.state === state).length;
  }

  /**
   * Counts the requested loads that requests wait for. Prefetches are not counted, so that
   * they take no slots from these loads.
   */
  private countRequestedDemandedLoads(): number {
    return [...this.loads.values()].filter(
      load => load.state === 'requested' && load.waiters.size > 0,
    ).length;
  }

  /** Counts the slots that are neither pinned nor reserved for a running load. */
  private countUsableSlots(): number {
    const {cluster} = this.options;
    return cluster.slots - this.pinCounts.size - this.countLoads('loading');
  }

  private start(pinned: PinnedRequest): void {
    const {scheduler, recorder} = this.options;
    const {request} = pinned;
    if (!request.isStallRecorded) {
      request.isStallRecorded = true;
      recorder.recordServed(
        request.arrival.at,
        scheduler.now - request.receivedAt,
      );
    }
    this.batch.submit(pinned);
  }

  private end(pinned: PinnedRequest): void {
    this.unpin(pinned.pin);
    this.requestLoads();
  }
}
