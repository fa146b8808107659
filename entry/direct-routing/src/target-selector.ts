import type {EngineView, TargetAnnouncement} from '@marigoldspur/deployment';
import type {Evidence} from '@marigoldspur/failure-detector';
import {AdapterWaits} from './adapter-waits.js';
import {EngineChooser} from './engine-chooser.js';
import {incarnationOf} from './incarnation.js';
import {PlainTargetChooser} from './plain-target-chooser.js';
import {
  ServiceStatsRegistry,
  type ServiceStatsRegistryOptions,
} from './service-stats.js';
import {
  TargetCalls,
  type TargetCallsOptions,
  type TargetCallTracker,
} from './target-calls.js';
import type {
  ChosenTarget,
  RouteRequirements,
  TargetRequirements,
} from './target-choice.js';
import {TargetEligibility} from './target-eligibility.js';
import {TargetStatsRegistry} from './target-stats-registry.js';
import type {ModelWork} from './wire-format.js';

/** Options of a target selector. */
export interface TargetSelectorOptions
  extends
    ServiceStatsRegistryOptions,
    Pick<TargetCallsOptions, 'onFirstEvent' | 'onSlowTarget'> {
  /** Availability zone of this process. */
  readonly zone: string;
  /** Returns all known targets. */
  readonly targets: () => readonly TargetAnnouncement[];
  /** Returns the last known state of the engine at an address. */
  readonly engineView: (address: string) => EngineView | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Chooses targets based on their announcements, their agents' reports and the
 * results of this process's own calls.
 */
export class TargetSelector {
  private readonly targetStats: TargetStatsRegistry;
  private readonly eligibility: TargetEligibility;
  private readonly plainTargets: PlainTargetChooser;
  private readonly engines: EngineChooser;
  private readonly adapterWaits: AdapterWaits;
  private readonly calls: TargetCalls;

  constructor(private readonly options: TargetSelectorOptions) {
    const services = new ServiceStatsRegistry(options);
    const targetStats = new TargetStatsRegistry({...options, services});
    const eligibility = new TargetEligibility({...options, targetStats});
    const parts = {...options, services, targetStats, eligibility};
    this.targetStats = targetStats;
    this.eligibility = eligibility;
    this.plainTargets = new PlainTargetChooser(parts);
    this.engines = new EngineChooser(parts);
    this.adapterWaits = new AdapterWaits(parts);
    this.calls = new TargetCalls(parts);
  }

  /**
   * Chooses the target of a call at time `now`; undefined if no target can
   * serve it.
   */
  choose(
    requirements: TargetRequirements,
    now: number,
  ): ChosenTarget | undefined {
    const {service, work} = requirements;
    const targets = this.eligibility.usableTargets(requirements, now);
    return service.engine === undefined || work === undefined
      ? this.plainTargets.choose(targets, requirements, now)
      : this.engines.choose(targets, {...requirements, work}, now);
  }

  /**
   * Whether a target still takes calls with these requirements at time `now`. A target that
   * was chosen before a wait is checked with this before it is used.
   */
  isAvailable(
    target: TargetAnnouncement,
    requirements: TargetRequirements,
    now: number,
  ): boolean {
    return this.eligibility.isAvailable(target, requirements, now);
  }

  /** Whether a target is known that may take calls with these requirements once it is free or responds again. */
  mayServeLater(requirements: TargetRequirements): boolean {
    return this.eligibility.mayServeLater(requirements);
  }

  /** Records that a target wants no calls from this entry until `endsAt`, in milliseconds. */
  recordPause(target: TargetAnnouncement, endsAt: number): void {
    this.eligibility.recordPause(target, endsAt);
  }

  /**
   * Time at `now` until the first target that serves these requirements, also of those that must
   * not be used, ends its pause, in milliseconds; undefined if none of them pauses.
   */
  pauseRemainingMs(
    requirements: TargetRequirements,
    now: number,
  ): number | undefined {
    return this.eligibility.pauseRemainingMs(requirements, now);
  }

  /** Records that a call is sent to a target at time `now`. */
  startCall(
    target: TargetAnnouncement,
    work: ModelWork | undefined,
    now: number,
    route?: RouteRequirements,
  ): TargetCallTracker {
    return this.calls.start({target, work, route}, now);
  }

  /**
   * Records that a target did not respond or responded incorrectly. Returns
   * whether the target became suspected.
   */
  recordFailure(
    target: TargetAnnouncement,
    evidence: Evidence,
    now: number,
  ): boolean {
    return this.eligibility.recordFailure(target, evidence, now);
  }

  /**
   * Records that an engine does not hold the requested version of an adapter.
   */
  recordMissingAdapter(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): void {
    this.adapterWaits.recordMissing(target, work, now);
  }

  /**
   * Records that a call waits from time `now` for an adapter of an engine until the returned
   * function is called, with the time at which the adapter became ready if it did.
   */
  startAdapterWait(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): (readyAt?: number) => void {
    return this.adapterWaits.start(target, work, now);
  }

  /** Records which adapters the engine at an address holds. */
  recordEngineView(address: string, view: EngineView): void {
    this.targetStats.recordEngineView(address, view);
  }

  /** Returns the software version of a target; undefined if the target may have started anew. */
  softwareVersionOf(target: TargetAnnouncement): string | undefined {
    return this.targetStats.mayHaveRestarted(target)
      ? undefined
      : target.softwareVersion;
  }

  /** Drops the state of targets that are no longer known. */
  removeUnknownTargets(): void {
    const known = new Set(this.options.targets().map(incarnationOf));
    this.eligibility.retainTargets(known);
    this.targetStats.retainTargets(known);
  }
}
