import type {
  EngineView,
  Service,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {adapterName, isSameIncarnation} from '@marigoldspur/deployment';
import {rankEngines} from '@marigoldspur/engine-choice';
import {FailureDetector, type Evidence} from '@marigoldspur/failure-detector';
import {mayContinue} from '@marigoldspur/stream-origins';
import type {ResponseMetadata, ModelWork} from './wire-format.js';
import {toEngineCandidate, type EngineSnapshot} from './engine-candidate.js';
import {incarnationOf} from './incarnation.js';
import {SlotReleaseEstimator} from './slot-release-estimator.js';
import {TargetStats} from './target-stats.js';

/** Options of a target selector. */
export interface TargetSelectorOptions {
  /** Availability zone of this process. */
  readonly zone: string;
  /** Returns all known targets. */
  readonly targets: () => readonly TargetAnnouncement[];
  /** Returns the last known state of the engine at an address. */
  readonly engineView: (address: string) => EngineView | undefined;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** What a call requires of a target. */
export interface TargetRequirements {
  readonly service: Service;
  readonly work?: ModelWork;
  /**
   * Version of the adapter that must serve the call; any version if undefined.
   */
  readonly version?: number;
  /** Origin of the stream that the call continues; undefined if any target may serve it. */
  readonly origin?: StreamOrigin;
  /** IDs of targets that must not be used. */
  readonly excluded: ReadonlySet<string>;
}

/** The target chosen for a call. */
export interface ChosenTarget {
  readonly target: TargetAnnouncement;
  /** Whether the engine has to load the adapter first. */
  readonly needsAdapter: boolean;
  /**
   * Expected time until the target starts to process the call, in milliseconds;
   * 0 if unknown.
   */
  readonly waitMs: number;
  /**
   * Expected time from then until the response starts, in milliseconds; 0 if
   * unknown.
   */
  readonly processingMs: number;
}

/** Tracks a call that was sent to a target. */
export interface TargetCallTracker {
  /** Records that the headers of the response arrived. */
  recordResponse(
    metadata: ResponseMetadata,
    hasFailed: boolean,
    now: number,
  ): void;
  /**
   * Records the first event, which shows that the prompt has been processed.
   */
  recordFirstEvent(): void;
  /** Records that the call ended at time `now`. */
  end(now: number): void;
}

/** Time for which a load report from a response is used, in milliseconds. */
const LOAD_REPORT_TTL_MS = 500;
/** Weight of the latest response in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.15;
/** Expected number of output tokens, as a share of the stated maximum. */
const EXPECTED_OUTPUT_SHARE = 0.5;
/**
 * Additional cost of a target in another availability zone, as a share of the
 * target's slots.
 */
const OTHER_ZONE_COST = 0.05;
/**
 * Half-life of suspicion, in milliseconds. There are no probes here, so a
 * suspected target is tried again after twice this time.
 */
const SUSPICION_HALF_LIFE_MS = 1_500;

/**
 * Chooses targets based on their announcements, their agents' reports and the
 * results of this process's own calls.
 */
export class TargetSelector {
  private readonly statsByIncarnation = new Map<string, TargetStats>();
  /** When the pauses that targets asked for end, by incarnation, in milliseconds. */
  private readonly pauseEnds = new Map<string, number>();
  private readonly slotReleases = new SlotReleaseEstimator();
  private readonly failureDetector = new FailureDetector({
    halfLifeMs: SUSPICION_HALF_LIFE_MS,
  });

  constructor(private readonly options: TargetSelectorOptions) {}

  /**
   * Chooses the target of a call at time `now`; undefined if no target can
   * serve it.
   */
  choose(
    requirements: TargetRequirements,
    now: number,
  ): ChosenTarget | undefined {
    const serving = this.options
      .targets()
      .filter(
        target =>
          this.serves(target, requirements) &&
          !this.isPaused(target, now) &&
          this.mayRespond(target),
      );
    const assessment = this.failureDetector.assess(
      serving.map(incarnationOf),
      now,
    );
    const usable = new Set(assessment.usable);
    const targets = serving.filter(target => usable.has(incarnationOf(target)));
    return requirements.service.engine === undefined ||
      requirements.work === undefined
      ? this.chooseLeastLoaded(targets, now)
      : this.chooseEngine(targets, requirements, requirements.work, now);
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
    const incarnation = incarnationOf(target);
    return this.options
      .targets()
      .some(
        known =>
          incarnationOf(known) === incarnation &&
          this.serves(known, requirements) &&
          !this.isPaused(known, now),
      );
  }

  /** Records that a target wants no calls from this entry until `endsAt`, in milliseconds. */
  recordPause(target: TargetAnnouncement, endsAt: number): void {
    const incarnation = incarnationOf(target);
    const known = this.pauseEnds.get(incarnation) ?? -Infinity;
    this.pauseEnds.set(incarnation, Math.max(known, endsAt));
  }

  /**
   * Time at `now` until the first target that serves these requirements, also of those that must
   * not be used, ends its pause, in milliseconds; undefined if none of them pauses.
   */
  pauseRemainingMs(
    requirements: TargetRequirements,
    now: number,
  ): number | undefined {
    const anyTarget = {...requirements, excluded: new Set<string>()};
    const remaining = this.options
      .targets()
      .filter(
        target => this.serves(target, anyTarget) && this.isPaused(target, now),
      )
      .map(target => this.pauseEnds.get(incarnationOf(target))! - now);
    return remaining.length === 0 ? undefined : Math.min(...remaining);
  }

  /** Whether a target is known that may take calls with these requirements once it is free or responds again. */
  mayServeLater(requirements: TargetRequirements): boolean {
    const anyTarget = {...requirements, excluded: new Set<string>()};
    return this.options
      .targets()
      .some(target => this.serves(target, anyTarget));
  }

  /** Records that a call is sent to a target at time `now`. */
  startCall(
    target: TargetAnnouncement,
    work: ModelWork | undefined,
    now: number,
  ): TargetCallTracker {
    const stats = this.statsOf(target);
    stats.inFlight += 1;
    let pending = 0;
    let hasResponded = false;
    if (work !== undefined) {
      const adapter = adapterName(work.model, work.adapter);
      const cached = stats.promptCache.cachedTokens(adapter, work.parts, now);
      pending = Math.max(0, work.promptTokens - cached);
      stats.promptCache.recordPrompt(adapter, work.parts, now);
    }
    stats.pendingTokens += pending;
    const recordFirstEvent = () => {
      stats.pendingTokens -= pending;
      pending = 0;
    };
    return {
      recordResponse: (metadata, hasFailed, at) => {
        hasResponded = !hasFailed && !metadata.hasNotRun;
        this.recordResponse(target, metadata, hasFailed, at);
      },
      recordFirstEvent,
      end: at => {
        recordFirstEvent();
        stats.inFlight -= 1;
        if (hasResponded) {
          this.slotReleases.recordCall(target.service, at - now);
        }
      },
    };
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
    const incarnation = incarnationOf(target);
    const wasSuspected = this.failureDetector.isSuspected(incarnation, now);
    this.failureDetector.recordFailure(incarnation, evidence, now);
    return !wasSuspected && this.failureDetector.isSuspected(incarnation, now);
  }

  /**
   * Records that an engine does not hold the requested version of an adapter.
   */
  recordMissingAdapter(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    this.statsOf(target).recordMissingAdapter(adapter, now);
  }

  /**
   * Records that a call waits for an adapter of an engine until the returned
   * function is called.
   */
  startAdapterWait(target: TargetAnnouncement, work: ModelWork): () => void {
    const adapter = adapterName(work.model, work.adapter);
    return this.statsOf(target).startAdapterWait(adapter);
  }

  /** Drops the state of targets that are no longer known. */
  removeUnknownTargets(): void {
    const known = new Set(this.options.targets().map(incarnationOf));
    this.failureDetector.retainTargets(known);
    for (const incarnation of this.pauseEnds.keys()) {
      if (!known.has(incarnation)) {
        this.pauseEnds.delete(incarnation);
      }
    }
    for (const incarnation of this.statsByIncarnation.keys()) {
      if (!known.has(incarnation)) {
        this.statsByIncarnation.delete(incarnation);
      }
    }
  }

  private recordResponse(
    target: TargetAnnouncement,
    metadata: ResponseMetadata,
    hasFailed: boolean,
    now: number,
  ): void {
    const stats = this.statsOf(target);
    this.failureDetector.recordSuccess(incarnationOf(target));
    stats.failureRate +=
      FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - stats.failureRate);
    if (metadata.load !== undefined) {
      stats.reportedLoad = metadata.load.running + metadata.load.waiting;
      stats.reportedAt = now;
    }
  }

  /** Whether the target's agent does not report it as unresponsive. */
  private mayRespond(target: TargetAnnouncement): boolean {
    return this.snapshotOf(target).view?.answers !== false;
  }

  private chooseLeastLoaded(
    targets: readonly TargetAnnouncement[],
    now: number,
  ): ChosenTarget | undefined {
    const ranked = targets.map(target => ({
      target,
      cost: this.relativeLoad(target, now) + this.options.random() / 1_000,
    }));
    ranked.sort((a, b) => a.cost - b.cost);
    const target = ranked.at(0)?.target;
    return target && {target, needsAdapter: false, waitMs: 0, processingMs: 0};
  }

  private relativeLoad(target: TargetAnnouncement, now: number): number {
    const stats = this.statsOf(target);
    const isFresh = now - stats.reportedAt < LOAD_REPORT_TTL_MS;
    const load = Math.max(stats.inFlight, isFresh ? stats.reportedLoad : 0);
    const zone = target.zone === this.options.zone ? 0 : OTHER_ZONE_COST;
    return load / target.slots + zone + stats.failureRate;
  }

  private chooseEngine(
    targets: readonly TargetAnnouncement[],
    requirements: TargetRequirements,
    work: ModelWork,
    now: number,
  ): ChosenTarget | undefined {
    const adapter = adapterName(work.model, work.adapter);
    const {name, engine} = requirements.service;
    const slotReleaseIntervalMs = this.slotReleases.releaseIntervalMs(
      name,
      engine?.adapterSlots ?? 0,
    );
    const engineRequirements = {
      ...requirements,
      work,
      adapter,
      slotReleaseIntervalMs,
    };
    const candidates = targets.map(target =>
      toEngineCandidate(this.snapshotOf(target), engineRequirements, now),
    );
    const best = rankEngines(
      {
        affinityKey: adapter,
        zone: this.options.zone,
        promptTokens: work.promptTokens,
        memoryTokens:
          work.promptTokens + work.maxOutputTokens * EXPECTED_OUTPUT_SHARE,
      },
      candidates,
    ).at(0);
    const index = candidates.findIndex(({name}) => name === best?.name);
    return (
      best && {
        target: targets[index],
        needsAdapter: candidates[index].adapterState !== 'held',
        waitMs: best.waitMs,
        processingMs: best.processingMs,
      }
    );
  }

  private snapshotOf(target: TargetAnnouncement): EngineSnapshot {
    const view = this.options.engineView(target.address);
    const isCurrent =
      view !== undefined && isSameIncarnation(view.bornAt, target.bornAt);
    return {
      target,
      stats: this.statsOf(target),
      view: isCurrent ? view : undefined,
    };
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

  private statsOf(target: TargetAnnouncement): TargetStats {
    const incarnation = incarnationOf(target);
    const stats = this.statsByIncarnation.get(incarnation) ?? new TargetStats();
    this.statsByIncarnation.set(incarnation, stats);
    return stats;
  }

  private serves(
    target: TargetAnnouncement,
    {excluded, origin, service}: TargetRequirements,
  ): boolean {
    return (
      target.service === service.name &&
      !target.leaving &&
      !excluded.has(target.id) &&
      (origin === undefined ||
        (!this.mayHaveRestarted(target) && mayContinue(target, origin)))
    );
  }

  private isPaused(target: TargetAnnouncement, now: number): boolean {
    return now < (this.pauseEnds.get(incarnationOf(target)) ?? -Infinity);
  }

  /** Returns the software version of a target; undefined if the target may have started anew. */
  softwareVersionOf(target: TargetAnnouncement): string | undefined {
    return this.mayHaveRestarted(target) ? undefined : target.softwareVersion;
  }

  /** Whether the agent beside a target reports another start of its process than it announced. */
  private mayHaveRestarted(target: TargetAnnouncement): boolean {
    const view = this.options.engineView(target.address);
    return view !== undefined && !isSameIncarnation(view.bornAt, target.bornAt);
  }
}
