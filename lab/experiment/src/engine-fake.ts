import {
  SlotTable,
  type Pin,
  type SlotReservation,
} from '@marigoldspur/adapter-slots';
import type {EvictionPolicy} from '@marigoldspur/eviction';
import {createLoadOrder, type LoadOrder} from '@marigoldspur/load-order';
import type {RequestedLoad} from '@marigoldspur/load-permits';
import type {PlacementCandidate} from '@marigoldspur/placement';
import {BatchFake, type Run} from './batch-fake.js';
import type {Job} from './job.js';
import type {Schedule} from './schedule.js';
import type {LoadClient, StoreFake} from './store-fake.js';
import type {Tally} from './tally.js';
import type {Cluster, Policy} from './workload.js';

/** What an engine works with. */
export interface EngineFakeOptions {
  readonly name: string;
  readonly zone: string;
  readonly cluster: Cluster;
  readonly policy: Policy;
  readonly eviction: EvictionPolicy;
  readonly schedule: Schedule;
  readonly store: StoreFake;
  readonly tally: Tally;
  /** Takes a request that the engine lost or can't load for. */
  readonly lost: (job: Job) => void;
  /** Takes a request that was refused. */
  readonly refused: (job: Job) => void;
}

interface Load {
  readonly model: string;
  /** When its first waiter came, in milliseconds. */
  askedAt: number;
  readonly waiters: Set<Job>;
  state: 'wanted' | 'asked' | 'loading';
  reservation?: SlotReservation;
}

const MAX_LOAD_FAILURES = 1;

/** One engine with the agent beside it: slots, loads that wait, and a batch. */
export class EngineFake implements LoadClient {
  /** False while the engine can't be reached. */
  reachable = true;
  readonly name: string;
  readonly zone: string;
  private readonly slots: SlotTable;
  private readonly order: LoadOrder;
  private readonly loads = new Map<string, Load>();
  private readonly pins = new Map<string, number>();
  private readonly unused = new Set<string>();
  private readonly batch: BatchFake;

  constructor(private readonly options: EngineFakeOptions) {
    this.name = options.name;
    this.zone = options.zone;
    const {cluster, policy} = options;
    this.slots = new SlotTable(cluster.slots, options.eviction);
    this.order = createLoadOrder(policy.loadOrder);
    this.batch = new BatchFake({...options, ended: run => this.end(run)});
  }

  /** What the engine's agent reports at present. */
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
      pinned: new Set(this.pins.keys()),
      slots: cluster.slots,
      load: this.batch.load + waiting,
      batchLimit: cluster.batchLimit,
    };
  }

  /** Takes a request. */
  take(job: Job): void {
    if (!this.reachable) {
      this.options.lost(job);
      return;
    }
    const pin = this.pin(job.arrival.model);
    if (pin === undefined) {
      this.waitForLoad(job);
      return;
    }
    this.begin({job, pin});
  }

  /** Loads a new version ahead of its first request where its predecessor is wanted here. */
  prefetch(model: string, predecessor: string): void {
    const {now} = this.options.schedule;
    if (
      this.reachable &&
      this.slots.admitSuccessor(model, predecessor, now) &&
      !this.loads.has(model)
    ) {
      this.loads.set(model, {
        model,
        askedAt: now,
        waiters: new Set(),
        state: 'wanted',
      });
      this.askForLoads();
    }
  }

  /** Loses all slots and requests. */
  restart(): void {
    const {schedule, store, cluster} = this.options;
    const jobs = this.jobs();
    this.loads.forEach(load => store.withdraw(this.idOf(load.model)));
    this.loads.clear();
    this.pins.clear();
    this.unused.clear();
    this.batch.restart();
    this.slots.reset(cluster.slots, [], schedule.now);
    jobs.forEach(job => this.options.lost(job));
  }

  /** Can't be reached any more; what runs runs on for nobody. */
  cutOff(): void {
    this.reachable = false;
    const jobs = this.jobs();
    for (const load of this.loads.values()) {
      this.options.store.withdraw(this.idOf(load.model));
    }
    this.loads.clear();
    this.batch.takeQueue().forEach(run => this.unpin(run.pin));
    jobs.forEach(job => this.options.lost(job));
  }

  granted(wanted: RequestedLoad): boolean {
    const {schedule, tally} = this.options;
    const load = this.loads.get(wanted.model);
    if (load?.state !== 'asked') {
      return false;
    }
    const reservation = this.slots.reserve(wanted.model, schedule.now);
    if (reservation === undefined) {
      load.state = 'wanted';
      return false;
    }
    if (
      reservation.evict !== undefined &&
      this.unused.delete(reservation.evict)
    ) {
      tally.leftUnused(schedule.now);
    }
    load.state = 'loading';
    load.reservation = reservation;
    return true;
  }

  refused({model}: RequestedLoad): void {
    const load = this.loads.get(model);
    if (load?.state === 'asked') {
      this.loads.delete(model);
      load.waiters.forEach(job => this.options.refused(job));
    }
  }

  ended({model}: RequestedLoad, loaded: boolean): void {
    const load = this.loads.get(model);
    const reservation = load?.reservation;
    if (load === undefined || reservation === undefined) {
      return;
    }
    this.loads.delete(model);
    const {schedule} = this.options;
    if (!loaded) {
      this.slots.cancel(reservation, false);
      load.waiters.forEach(job => this.retry(job));
      this.askForLoads();
      return;
    }
    this.slots.completeLoad(reservation, schedule.now);
    this.unused.add(model);
    load.waiters.forEach(job => this.begin({job, pin: this.pin(model)!}));
    this.askForLoads();
  }

  private retry(job: Job): void {
    job.failures += 1;
    if (job.failures > MAX_LOAD_FAILURES) {
      this.options.lost(job);
    } else {
      this.waitForLoad(job);
    }
  }

  private jobs(): Job[] {
    return [
      ...[...this.loads.values()].flatMap(load => [...load.waiters]),
      ...this.batch.jobs(),
    ];
  }

  private pin(model: string): Pin | undefined {
    const pin = this.slots.pin(model, this.options.schedule.now);
    if (pin !== undefined) {
      this.unused.delete(model);
      this.pins.set(model, (this.pins.get(model) ?? 0) + 1);
    }
    return pin;
  }

  private unpin(pin: Pin): void {
    pin.release(this.options.schedule.now);
    const pins = this.pins.get(pin.model)! - 1;
    if (pins === 0) {
      this.pins.delete(pin.model);
    } else {
      this.pins.set(pin.model, pins);
    }
  }

  private waitForLoad(job: Job): void {
    const {schedule} = this.options;
    const {model} = job.arrival;
    const load: Load = this.loads.get(model) ?? {
      model,
      askedAt: schedule.now,
      waiters: new Set(),
      state: 'wanted',
    };
    this.loads.set(model, load);
    if (load.waiters.size === 0) {
      load.askedAt = schedule.now;
    }
    load.waiters.add(job);
    schedule.at(job.deadline, () => this.giveUp(job, load));
    if (load.state === 'asked') {
      this.ask(load);
    }
    this.askForLoads();
  }

  private giveUp(job: Job, load: Load): void {
    if (this.loads.get(load.model) !== load || !load.waiters.has(job)) {
      return;
    }
    load.waiters.delete(job);
    this.options.refused(job);
    if (load.waiters.size === 0 && load.state !== 'loading') {
      this.options.store.withdraw(this.idOf(load.model));
      this.loads.delete(load.model);
      this.askForLoads();
    }
  }

  /** Asks for as many loads as there are slots for them, the most urgent first. */
  private askForLoads(): void {
    const wanted = [...this.loads.values()]
      .filter(load => load.state === 'wanted')
      .map(load => this.wantedLoad(load));
    const room = this.openSlots() - this.demandedLoadsAsked();
    if (room <= 0 || wanted.length === 0) {
      return;
    }
    const {now} = this.options.schedule;
    const demanded = wanted.filter(load => load.waiters > 0);
    const ahead = wanted.filter(load => load.waiters === 0);
    const urgent = [...this.order.sort(demanded, now), ...ahead];
    for (const {model} of urgent.slice(0, room)) {
      const load = this.loads.get(model);
      if (load?.state === 'wanted') {
        load.state = 'asked';
        this.ask(load);
      }
    }
  }

  private ask(load: Load): void {
    this.options.store.ask(this.wantedLoad(load), this);
  }

  private wantedLoad(load: Load): RequestedLoad {
    const deadlines = [...load.waiters].map(job => job.deadline);
    return {
      id: this.idOf(load.model),
      model: load.model,
      askedAt: load.askedAt,
      waiters: load.waiters.size,
      priority: 5,
      deadline: Math.max(load.askedAt, ...deadlines),
    };
  }

  private idOf(model: string): string {
    return `${this.name} ${model}`;
  }

  private loadsIn(state: Load['state']): number {
    return [...this.loads.values()].filter(load => load.state === state).length;
  }

  /** Loads that someone waits for; a prefetch takes no room from them. */
  private demandedLoadsAsked(): number {
    return [...this.loads.values()].filter(
      load => load.state === 'asked' && load.waiters.size > 0,
    ).length;
  }

  private openSlots(): number {
    const {cluster} = this.options;
    return cluster.slots - this.pins.size - this.loadsIn('loading');
  }

  private begin(run: Run): void {
    const {schedule, tally} = this.options;
    const {job} = run;
    if (!job.settled) {
      job.settled = true;
      tally.served(job.arrival.at, schedule.now - job.takenAt);
    }
    this.batch.begin(run);
  }

  private end(run: Run): void {
    this.unpin(run.pin);
    this.askForLoads();
  }
}
