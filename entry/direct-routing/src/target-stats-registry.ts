import {
  isSameIncarnation,
  type EngineView,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import {boundLoad} from '@marigoldspur/expected-cost';
import type {EngineSnapshot} from './engine-candidate.js';
import {incarnationOf} from './incarnation.js';
import type {ServiceStatsRegistry} from './service-stats.js';
import {TargetStats} from './target-stats.js';

/** Options of a registry of targets' statistics. */
export interface TargetStatsRegistryOptions {
  /** Returns all known targets. */
  readonly targets: () => readonly TargetAnnouncement[];
  /** Returns the last known state of the engine at an address. */
  readonly engineView: (address: string) => EngineView | undefined;
  readonly services: ServiceStatsRegistry;
}

/**
 * Keeps what this process knows about each incarnation of a target, and relates it to the
 * reports of the agents.
 */
export class TargetStatsRegistry {
  private readonly statsByIncarnation = new Map<string, TargetStats>();
  /** The same by announcement, which is faster than to build the key of the incarnation. */
  private statsByAnnouncement = new WeakMap<TargetAnnouncement, TargetStats>();

  constructor(private readonly options: TargetStatsRegistryOptions) {}

  /** Returns what is known about a target; new statistics if its incarnation is unknown. */
  statsOf(target: TargetAnnouncement): TargetStats {
    const known = this.statsByAnnouncement.get(target);
    if (known !== undefined) {
      return known;
    }
    const incarnation = incarnationOf(target);
    let stats = this.statsByIncarnation.get(incarnation);
    if (stats === undefined) {
      stats = new TargetStats();
      this.statsByIncarnation.set(incarnation, stats);
      this.options.services.modelOf(target.service).addTarget(stats.model);
    }
    this.statsByAnnouncement.set(target, stats);
    return stats;
  }

  /** Returns what is known about a target, with its agent's report if that is of the same start. */
  snapshotOf(target: TargetAnnouncement): EngineSnapshot {
    const view = this.options.engineView(target.address);
    const isCurrent =
      view !== undefined && isSameIncarnation(view.bornAt, target.bornAt);
    return {
      target,
      stats: this.statsOf(target),
      view: isCurrent ? this.boundCounts(view, target) : undefined,
    };
  }

  /** Whether the agent beside a target reports another start of its process than it announced. */
  mayHaveRestarted(target: TargetAnnouncement): boolean {
    const view = this.options.engineView(target.address);
    return view !== undefined && !isSameIncarnation(view.bornAt, target.bornAt);
  }

  /** Records which adapters the engine at an address holds. */
  recordEngineView(address: string, view: EngineView): void {
    const target = this.options
      .targets()
      .find(
        each =>
          each.address === address &&
          isSameIncarnation(each.bornAt, view.bornAt),
      );
    if (target !== undefined) {
      this.statsOf(target).recentAdapters.record(view.adapters);
    }
  }

  /** Drops the statistics of all targets except those with the given incarnations. */
  retainTargets(incarnations: ReadonlySet<string>): void {
    for (const [incarnation, {model}] of this.statsByIncarnation) {
      if (!incarnations.has(incarnation)) {
        this.options.services.removeTarget(model);
        this.statsByIncarnation.delete(incarnation);
        this.statsByAnnouncement = new WeakMap();
      }
    }
  }

  /** Limits the requests that an engine's report states. */
  private boundCounts(
    view: EngineView,
    {service, slots}: TargetAnnouncement,
  ): EngineView {
    const {engine} = this.options.services.statsOf(service);
    const limit = engine?.batchLimit ?? slots;
    const running = boundLoad(view.running, limit);
    const waiting = boundLoad(view.waiting, limit);
    return running === view.running && waiting === view.waiting
      ? view
      : {...view, running, waiting};
  }
}
