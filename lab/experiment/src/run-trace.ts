import {
  createEvictionPolicy,
  type EvictionPolicy,
} from '@marigoldspur/eviction';
import {
  createPlacementPolicy,
  type PlacementCandidate,
  type PlacementPolicy,
} from '@marigoldspur/placement';
import {SimulatedEngine} from './simulated-engine.js';
import type {SimulatedRequest} from './simulated-request.js';
import {RandomSource} from './random-source.js';
import {EventScheduler} from './event-scheduler.js';
import {SimulatedStore} from './simulated-store.js';
import {FigureRecorder, type Figures} from './figure-recorder.js';
import type {Arrival} from './trace.js';
import {planVersions} from './version-plan.js';
import type {Disturbance, Policy, Scenario, Workload} from './workload.js';

/** Options of a simulated run. */
export interface RunOptions {
  readonly workload: Workload;
  readonly scenario: Scenario;
  readonly policy: Policy;
  readonly seed: number;
  /** Creates an eviction policy that replaces the one of `policy`; used for the bound. */
  readonly createEviction?: () => EvictionPolicy;
}

const MS_PER_SECOND = 1_000;
/**
 * Makes the random numbers of the simulation differ from those of the trace with the same
 * seed.
 */
const SEED_OFFSET = 7_919;

/**
 * Simulates a trace with the placement, eviction and load policies of the serving layer
 * and returns the figures of the measured part.
 */
export function runTrace(
  arrivals: readonly Arrival[],
  options: RunOptions,
): Figures {
  return new Simulation(arrivals, options).run();
}

class Simulation {
  private readonly scheduler = new EventScheduler();
  private readonly random: RandomSource;
  private readonly recorder: FigureRecorder;
  private readonly store: SimulatedStore;
  private readonly engines: SimulatedEngine[];
  /** The latest report of each engine that reached the entries, by the index of the engine. */
  private readonly reports: PlacementCandidate[];
  /** Names of the engines that entries exclude from placement. */
  private readonly suspected = new Set<string>();
  private readonly entries: SimulatedEntry[];

  constructor(
    private readonly arrivals: readonly Arrival[],
    private readonly options: RunOptions,
  ) {
    const {workload, policy, seed} = options;
    const {cluster, warmUpSeconds, measuredSeconds} = workload;
    this.random = new RandomSource(seed + SEED_OFFSET);
    this.recorder = new FigureRecorder(
      warmUpSeconds * MS_PER_SECOND,
      (warmUpSeconds + measuredSeconds) * MS_PER_SECOND,
    );
    const {scheduler, recorder, random} = this;
    this.store = new SimulatedStore({
      cluster,
      policy,
      scheduler,
      recorder,
      random,
    });
    this.engines = Array.from({length: cluster.engines}, (_, index) =>
      this.createEngine(index),
    );
    this.reports = this.engines.map(engine => engine.report());
    this.entries = Array.from(
      {length: cluster.entries},
      (_, index) =>
        new SimulatedEntry(
          createPlacementPolicy(policy.placement, random.uniform, policy),
          `zone-${index % cluster.zones}`,
        ),
    );
  }

  run(): Figures {
    const {workload, scenario} = this.options;
    this.engines.forEach((_, index) => this.scheduleReport(index));
    for (const disturbance of scenario.disturbances) {
      this.scheduleDisturbance(disturbance);
    }
    this.schedulePrefetches();
    this.scheduleArrival(0);
    const {warmUpSeconds, measuredSeconds} = workload;
    this.scheduler.runUntil((warmUpSeconds + measuredSeconds) * MS_PER_SECOND);
    return this.recorder.figures();
  }

  private createEngine(index: number): SimulatedEngine {
    const {workload, policy, createEviction} = this.options;
    const {cluster} = workload;
    return new SimulatedEngine({
      name: `engine-${index}`,
      zone: `zone-${index % cluster.zones}`,
      cluster,
      policy,
      eviction:
        createEviction?.() ??
        createEvictionPolicy(policy.eviction, {
          halfLifeMs: policy.evictionHalfLifeMs,
        }),
      scheduler: this.scheduler,
      store: this.store,
      recorder: this.recorder,
      onLost: request => this.redispatch(request),
      onRefused: request => this.refuse(request),
    });
  }

  private schedulePrefetches(): void {
    const {workload, scenario, policy} = this.options;
    if (!policy.prefetch) {
      return;
    }
    for (const version of planVersions(workload, scenario).values()) {
      const {model, predecessor, announcedAt} = version;
      this.scheduler.scheduleAt(announcedAt, () =>
        this.engines.forEach(engine => engine.prefetch(model, predecessor)),
      );
    }
  }

  private scheduleArrival(index: number): void {
    if (index === this.arrivals.length) {
      return;
    }
    const arrival = this.arrivals[index];
    this.scheduler.scheduleAt(arrival.at, () => {
      this.dispatch({
        arrival,
        receivedAt: arrival.at,
        deadline: arrival.at + this.options.workload.deadlineMs,
        loadFailures: 0,
        isStallRecorded: false,
        hasStarted: false,
      });
      this.scheduleArrival(index + 1);
    });
  }

  private dispatch(request: SimulatedRequest): void {
    const {scheduler, reports, suspected, entries} = this;
    const entry = entries[request.arrival.entry];
    const chosen = entry.choose(
      request.arrival.model,
      reports.filter(report => !suspected.has(report.name)),
      scheduler.now,
    );
    const engine = this.engines.find(each => each.name === chosen);
    if (engine === undefined) {
      this.refuse(request);
      return;
    }
    scheduler.scheduleAfter(this.options.workload.cluster.oneWayMs, () => {
      if (request.receivedAt === request.arrival.at) {
        request.receivedAt = scheduler.now;
      }
      engine.receive(request);
    });
  }

  /**
   * Dispatches a lost request again after the suspicion timeout, unless it has started and
   * is not repeatable.
   */
  private redispatch(request: SimulatedRequest): void {
    if (request.hasStarted && !request.arrival.repeatable) {
      return;
    }
    const {cluster} = this.options.workload;
    this.scheduler.scheduleAfter(cluster.suspectMs, () => {
      if (!request.isStallRecorded && this.scheduler.now >= request.deadline) {
        this.refuse(request);
        return;
      }
      request.loadFailures = 0;
      this.dispatch(request);
    });
  }

  private refuse(request: SimulatedRequest): void {
    if (!request.isStallRecorded) {
      request.isStallRecorded = true;
      this.recorder.recordRefused(
        request.arrival.at,
        this.options.workload.deadlineMs,
      );
    }
  }

  private scheduleReport(index: number): void {
    const {cluster} = this.options.workload;
    const engine = this.engines[index];
    const sendReport = () => {
      if (engine.isReachable) {
        const report = engine.report();
        this.scheduler.scheduleAfter(cluster.oneWayMs, () => {
          this.reports[index] = report;
          this.entries.forEach(entry => entry.resetSentCount(engine.name));
        });
      }
      this.scheduler.scheduleAfter(cluster.reportMs, sendReport);
    };
    this.scheduler.scheduleAt(
      (index * cluster.reportMs) / cluster.engines,
      sendReport,
    );
  }

  private scheduleDisturbance(disturbance: Disturbance): void {
    const {scheduler, store} = this;
    const startMs = (at: number) =>
      (this.options.workload.warmUpSeconds + at) * MS_PER_SECOND;
    switch (disturbance.kind) {
      case 'restart':
        return this.scheduleRestarts(disturbance, startMs(disturbance.at));
      case 'zone-cut':
        return this.scheduleZoneCut(disturbance, startMs(disturbance.at));
      case 'failing-loads': {
        const {at, seconds, share} = disturbance;
        scheduler.scheduleAt(startMs(at), () => (store.failingShare = share));
        scheduler.scheduleAt(
          startMs(at + seconds),
          () => (store.failingShare = 0),
        );
        return;
      }
      case 'slow-store': {
        const {at, seconds, factor} = disturbance;
        scheduler.scheduleAt(
          startMs(at),
          () => (store.slowdownFactor = factor),
        );
        scheduler.scheduleAt(
          startMs(at + seconds),
          () => (store.slowdownFactor = 1),
        );
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
      const at = startMs + index * downSeconds * MS_PER_SECOND;
      this.scheduler.scheduleAt(at, () => {
        engine.isReachable = false;
        this.suspectLater(engine);
        engine.restart();
      });
      this.scheduler.scheduleAt(at + downSeconds * MS_PER_SECOND, () =>
        this.reconnect(engine),
      );
    });
  }

  private scheduleZoneCut(
    {seconds}: Extract<Disturbance, {kind: 'zone-cut'}>,
    startMs: number,
  ): void {
    const unreachable = this.engines.filter(engine => engine.zone === 'zone-0');
    for (const engine of unreachable) {
      this.scheduler.scheduleAt(startMs, () => {
        this.suspectLater(engine);
        engine.disconnect();
      });
      this.scheduler.scheduleAt(startMs + seconds * MS_PER_SECOND, () =>
        this.reconnect(engine),
      );
    }
  }

  /** Excludes the engine from placement after the suspicion timeout. */
  private suspectLater(engine: SimulatedEngine): void {
    const {suspectMs} = this.options.workload.cluster;
    this.scheduler.scheduleAfter(suspectMs, () =>
      this.suspected.add(engine.name),
    );
  }

  private reconnect(engine: SimulatedEngine): void {
    engine.isReachable = true;
    this.suspected.delete(engine.name);
  }
}

/**
 * An entry: its placement policy, and how many requests it sent to each engine since the
 * last report of that engine.
 */
class SimulatedEntry {
  /** Number of requests sent since the last report of an engine, by engine. */
  private readonly sentCounts = new Map<string, number>();

  constructor(
    private readonly placement: PlacementPolicy,
    private readonly zone: string,
  ) {}

  /** Chooses the engine for a request and counts the request as sent to it; undefined if no engine is available. */
  choose(
    model: string,
    reports: readonly PlacementCandidate[],
    now: number,
  ): string | undefined {
    const candidates = reports.map(report => ({
      ...report,
      load: report.load + (this.sentCounts.get(report.name) ?? 0),
    }));
    const chosen = this.placement.choose(
      {model, zone: this.zone},
      candidates,
      now,
    )?.name;
    if (chosen !== undefined) {
      this.sentCounts.set(chosen, (this.sentCounts.get(chosen) ?? 0) + 1);
    }
    return chosen;
  }

  resetSentCount(name: string): void {
    this.sentCounts.delete(name);
  }
}
