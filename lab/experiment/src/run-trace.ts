import {
  createEvictionPolicy,
  type EvictionPolicy,
} from '@marigoldspur/eviction';
import {
  createPlacementPolicy,
  type PlacementCandidate,
  type PlacementPolicy,
} from '@marigoldspur/placement';
import {EngineFake} from './engine-fake.js';
import type {Job} from './job.js';
import {RandomSource} from './random-source.js';
import {Schedule} from './schedule.js';
import {StoreFake} from './store-fake.js';
import {Tally, type Figures} from './tally.js';
import type {Arrival} from './trace.js';
import {planVersions} from './version-plan.js';
import type {Disturbance, Policy, Scenario, Workload} from './workload.js';

/** Options of one run. */
export interface RunOptions {
  readonly workload: Workload;
  readonly scenario: Scenario;
  readonly policy: Policy;
  readonly seed: number;
  /** Replaces the policy's eviction, as for a bound. */
  readonly eviction?: () => EvictionPolicy;
}

const SECOND_MS = 1_000;
const SEED_OFFSET = 7_919;

/** Puts a trace into the decision code and returns the figures of the measured part. */
export function runTrace(
  arrivals: readonly Arrival[],
  options: RunOptions,
): Figures {
  return new Run(arrivals, options).figures();
}

class Run {
  private readonly schedule = new Schedule();
  private readonly random: RandomSource;
  private readonly tally: Tally;
  private readonly store: StoreFake;
  private readonly engines: EngineFake[];
  private readonly reports: PlacementCandidate[];
  private readonly suspected = new Set<string>();
  private readonly entries: Entry[];

  constructor(
    private readonly arrivals: readonly Arrival[],
    private readonly options: RunOptions,
  ) {
    const {workload, policy, seed} = options;
    const {cluster, warmUpSeconds, measuredSeconds} = workload;
    this.random = new RandomSource(seed + SEED_OFFSET);
    this.tally = new Tally(
      warmUpSeconds * SECOND_MS,
      (warmUpSeconds + measuredSeconds) * SECOND_MS,
    );
    const {schedule, tally, random} = this;
    this.store = new StoreFake({cluster, policy, schedule, tally, random});
    this.engines = Array.from({length: cluster.engines}, (_, index) =>
      this.engine(index),
    );
    this.reports = this.engines.map(engine => engine.report());
    this.entries = Array.from(
      {length: cluster.entries},
      (_, index) =>
        new Entry(
          createPlacementPolicy(policy.placement, random.uniform, policy),
          `zone-${index % cluster.zones}`,
        ),
    );
  }

  figures(): Figures {
    const {workload, scenario} = this.options;
    this.engines.forEach((_, index) => this.scheduleReport(index));
    for (const disturbance of scenario.disturbances) {
      this.scheduleDisturbance(disturbance);
    }
    this.schedulePrefetches();
    this.scheduleArrival(0);
    const {warmUpSeconds, measuredSeconds} = workload;
    this.schedule.runUntil((warmUpSeconds + measuredSeconds) * SECOND_MS);
    return this.tally.figures();
  }

  private engine(index: number): EngineFake {
    const {workload, policy, eviction} = this.options;
    const {cluster} = workload;
    return new EngineFake({
      name: `engine-${index}`,
      zone: `zone-${index % cluster.zones}`,
      cluster,
      policy,
      eviction:
        eviction?.() ??
        createEvictionPolicy(policy.eviction, {
          halfLifeMs: policy.evictionHalfLifeMs,
        }),
      schedule: this.schedule,
      store: this.store,
      tally: this.tally,
      lost: job => this.replace(job),
      refused: job => this.refuse(job),
    });
  }

  private schedulePrefetches(): void {
    const {workload, scenario, policy} = this.options;
    if (!policy.prefetch) {
      return;
    }
    for (const version of planVersions(workload, scenario).values()) {
      const {model, predecessor, announcedAt} = version;
      this.schedule.at(announcedAt, () =>
        this.engines.forEach(engine => engine.prefetch(model, predecessor)),
      );
    }
  }

  private scheduleArrival(index: number): void {
    if (index === this.arrivals.length) {
      return;
    }
    const arrival = this.arrivals[index];
    this.schedule.at(arrival.at, () => {
      this.dispatch({
        arrival,
        takenAt: arrival.at,
        deadline: arrival.at + this.options.workload.deadlineMs,
        failures: 0,
        settled: false,
        started: false,
      });
      this.scheduleArrival(index + 1);
    });
  }

  private dispatch(job: Job): void {
    const {schedule, reports, suspected, entries} = this;
    const entry = entries[job.arrival.entry];
    const chosen = entry.choose(
      job.arrival.model,
      reports.filter(report => !suspected.has(report.name)),
      schedule.now,
    );
    const engine = this.engines.find(each => each.name === chosen);
    if (engine === undefined) {
      this.refuse(job);
      return;
    }
    schedule.after(this.options.workload.cluster.oneWayMs, () => {
      if (job.takenAt === job.arrival.at) {
        job.takenAt = schedule.now;
      }
      engine.take(job);
    });
  }

  /** Sends a request elsewhere once its loss is noticed, if it may be repeated. */
  private replace(job: Job): void {
    if (job.started && !job.arrival.repeatable) {
      return;
    }
    const {cluster} = this.options.workload;
    this.schedule.after(cluster.suspectMs, () => {
      if (!job.settled && this.schedule.now >= job.deadline) {
        this.refuse(job);
        return;
      }
      job.failures = 0;
      this.dispatch(job);
    });
  }

  private refuse(job: Job): void {
    if (!job.settled) {
      job.settled = true;
      this.tally.gaveUp(job.arrival.at, this.options.workload.deadlineMs);
    }
  }

  private scheduleReport(index: number): void {
    const {cluster} = this.options.workload;
    const engine = this.engines[index];
    const send = () => {
      if (engine.reachable) {
        const report = engine.report();
        this.schedule.after(cluster.oneWayMs, () => {
          this.reports[index] = report;
          this.entries.forEach(entry => entry.reported(engine.name));
        });
      }
      this.schedule.after(cluster.reportMs, send);
    };
    this.schedule.at((index * cluster.reportMs) / cluster.engines, send);
  }

  private scheduleDisturbance(disturbance: Disturbance): void {
    const {schedule, store} = this;
    const startMs = (at: number) =>
      (this.options.workload.warmUpSeconds + at) * SECOND_MS;
    switch (disturbance.kind) {
      case 'restart':
        return this.scheduleRestarts(disturbance, startMs(disturbance.at));
      case 'zone-cut':
        return this.scheduleCut(disturbance, startMs(disturbance.at));
      case 'failing-loads': {
        const {at, seconds, share} = disturbance;
        schedule.at(startMs(at), () => (store.failingShare = share));
        schedule.at(startMs(at + seconds), () => (store.failingShare = 0));
        return;
      }
      case 'slow-store': {
        const {at, seconds, factor} = disturbance;
        schedule.at(startMs(at), () => (store.slowness = factor));
        schedule.at(startMs(at + seconds), () => (store.slowness = 1));
        return;
      }
      default:
    }
  }

  private scheduleRestarts(
    {engines, downSeconds}: Extract<Disturbance, {kind: 'restart'}>,
    startMs: number,
  ): void {
    this.engines.slice(0, engines).forEach((engine, index) => {
      const at = startMs + index * downSeconds * SECOND_MS;
      this.schedule.at(at, () => {
        engine.reachable = false;
        this.suspect(engine);
        engine.restart();
      });
      this.schedule.at(at + downSeconds * SECOND_MS, () => this.heal(engine));
    });
  }

  private scheduleCut(
    {seconds}: Extract<Disturbance, {kind: 'zone-cut'}>,
    startMs: number,
  ): void {
    const cut = this.engines.filter(engine => engine.zone === 'zone-0');
    for (const engine of cut) {
      this.schedule.at(startMs, () => {
        this.suspect(engine);
        engine.cutOff();
      });
      this.schedule.at(startMs + seconds * SECOND_MS, () => this.heal(engine));
    }
  }

  private suspect(engine: EngineFake): void {
    const {suspectMs} = this.options.workload.cluster;
    this.schedule.after(suspectMs, () => this.suspected.add(engine.name));
  }

  private heal(engine: EngineFake): void {
    engine.reachable = true;
    this.suspected.delete(engine.name);
  }
}

/** An entry: a placement and what it sent since the last report of each engine. */
class Entry {
  private readonly sent = new Map<string, number>();

  constructor(
    private readonly placement: PlacementPolicy,
    private readonly zone: string,
  ) {}

  choose(
    model: string,
    reports: readonly PlacementCandidate[],
    now: number,
  ): string | undefined {
    const candidates = reports.map(report => ({
      ...report,
      load: report.load + (this.sent.get(report.name) ?? 0),
    }));
    const chosen = this.placement.choose(
      {model, zone: this.zone},
      candidates,
      now,
    )?.name;
    if (chosen !== undefined) {
      this.sent.set(chosen, (this.sent.get(chosen) ?? 0) + 1);
    }
    return chosen;
  }

  reported(name: string): void {
    this.sent.delete(name);
  }
}
