import type {
  EngineView,
  Route,
  Service,
  StreamOrigin,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {adapterName, isSameIncarnation} from '@marigoldspur/deployment';
import {chooseEngine, type EngineCandidate} from '@marigoldspur/engine-choice';
import {
  PRIOR_COSTS,
  boundLoad,
  CallProgress,
  plainCost,
  ServiceModel,
  statedLoadCosts,
} from '@marigoldspur/expected-cost';
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
  /**
   * Whether learned costs count only for services whose targets state their pace; for all services if
   * absent.
   */
  readonly requiresStatedPace?: boolean;
  /** Called with the expected and the observed time to the first event of a call, in milliseconds. */
  readonly onFirstEvent?: (
    service: string,
    expectedMs: number,
    observedMs: number,
  ) => void;
  /** Called with a target that takes far longer than its peers, at most once per minute for each. */
  readonly onSlowTarget?: (target: TargetAnnouncement, factor: number) => void;
}

/** What the choice of a target depends on of a call's route. */
export type RouteRequirements = Pick<Route, 'name' | 'streaming'> &
  Partial<Pick<Route, 'maxGapMs'>>;

/** What a call requires of a target. */
export interface TargetRequirements {
  readonly service: Service;
  /** The route of the call; undefined if nothing is known about it. */
  readonly route?: RouteRequirements;
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
  /** Expected time until the whole response has arrived, in milliseconds; 0 if unknown. */
  readonly completionMs: number;
  /** Expected pause between two events, in milliseconds; 0 if unknown. */
  readonly pauseMs: number;
  /** Whether no target is known to have memory for the call. */
  readonly lacksMemory: boolean;
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
  /** Records that a part of the response arrived at time `now`, from that of the first event on. */
  recordEvent(now: number): void;
  /** Records that the whole of a successful response had arrived at time `now`. */
  recordCompletion(now: number): void;
  /** Records that a successful response broke off although nobody cancelled it. */
  recordBreak(): void;
  /** Records that the call ended at time `now`. */
  end(now: number): void;
}

/** Weight of the latest response in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.15;
/** Expected number of output tokens, as a share of the stated maximum. */
const EXPECTED_OUTPUT_SHARE = 0.5;
/**
 * Additional cost of a plain target in another availability zone, in units of the
 * service's mean call.
 */
const OTHER_ZONE_COST = 0.05;
/** A chosen plain target of which no times are known. */
const UNKNOWN_TIMES = {
  needsAdapter: false,
  waitMs: 0,
  processingMs: 0,
  completionMs: 0,
  pauseMs: 0,
  lacksMemory: false,
};
/** Cost of a target that is full or fails mostly, which is used last. */
const LAST_COST = 1_000;
/** Share of failed responses from which a target is used last, as a full one is. */
const FAILING_SHARE = 0.5;
/** Minimum time between two reports of one slow target, in milliseconds. */
const SLOW_REPORT_INTERVAL_MS = 60_000;
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
  /** The same by announcement, which is faster than to build the key of the incarnation. */
  private statsByAnnouncement = new WeakMap<TargetAnnouncement, TargetStats>();
  /** When the pauses that targets asked for end, by incarnation, in milliseconds. */
  private readonly pauseEnds = new Map<string, number>();
  private readonly serviceModels = new Map<string, ServiceModel>();
  /** Services of which a target has stated its pace. */
  private readonly pacedServices = new Set<string>();
  /** Settings of the engines by service, as the last choice had them. */
  private readonly engineSettings = new Map<string, Service['engine']>();
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
      ? this.choosePlain(targets, requirements, now)
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
    route?: RouteRequirements,
  ): TargetCallTracker {
    const stats = this.statsOf(target);
    const service = this.serviceModelOf(target.service);
    const routeName = route?.name ?? '';
    const {promptTokens, progress, expectedMs} = this.startProgress(
      {target, work, route},
      now,
    );
    const ownWork = service.relativeWork(routeName, now);
    const memory = work === undefined ? 0 : memoryTokensOf(work);
    let pending = promptTokens;
    let hasEvent = false;
    let hasEnded = false;
    stats.inFlight += 1;
    stats.pendingTokens += pending;
    stats.inFlightWork += ownWork;
    stats.inFlightTokens += memory;
    stats.promisedMemory.promise(memory);
    const recordFirstEvent = () => {
      stats.pendingTokens -= pending;
      pending = 0;
    };
    const recordEvent = (at: number) => {
      recordFirstEvent();
      progress.recordPart(at);
      if (!hasEvent && !hasEnded) {
        hasEvent = true;
        stats.promisedMemory.recordStart(memory, at);
        if (expectedMs > 0) {
          this.options.onFirstEvent?.(target.service, expectedMs, at - now);
        }
      }
    };
    return {
      recordResponse: (metadata, hasFailed, at) => {
        this.recordResponse(target, metadata, hasFailed, at);
      },
      recordFirstEvent,
      recordEvent,
      recordCompletion: at => {
        this.slotReleases.recordCall(target.service, at - now);
        progress.recordCompletion(at);
        this.reportSlowTarget(target, stats, at);
      },
      recordBreak: () => {
        // The head counted as a success, which the full weight makes up for.
        stats.failureRate = Math.min(1, stats.failureRate + FAILURE_WEIGHT);
      },
      end: () => {
        hasEnded = true;
        recordFirstEvent();
        stats.inFlight -= 1;
        stats.inFlightWork -= ownWork;
        stats.inFlightTokens -= memory;
        if (!hasEvent) {
          stats.promisedMemory.withdraw(memory);
        }
      },
    };
  }

  /** Starts to follow a call that is sent at time `now`, and estimates when its first event comes. */
  private startProgress(
    {
      target,
      work,
      route,
    }: {
      target: TargetAnnouncement;
      work: ModelWork | undefined;
      route: RouteRequirements | undefined;
    },
    now: number,
  ): {promptTokens: number; progress: CallProgress; expectedMs: number} {
    const {stats, view} = this.snapshotOf(target);
    const service = this.serviceModelOf(target.service);
    const {meanPromptTokens} = service.costs(now);
    const queuedTokens = Math.max(
      stats.pendingTokens,
      (view?.waiting ?? 0) * meanPromptTokens,
    );
    const running = Math.max(stats.inFlight, view?.running ?? 0);
    const promptTokens =
      work === undefined ? 0 : recordPrompt(stats, work, now);
    if (work !== undefined) {
      service.recordPrompt(promptTokens);
    }
    const isStream = work !== undefined && route?.streaming === true;
    const progress = new CallProgress({
      service,
      target: stats.model,
      route: route?.name ?? '',
      sentAt: now,
      isStream,
      isPlain: work === undefined,
      promptTokens,
      isFirstInQueue: queuedTokens === 0,
      running: running + 1,
      workInFront: this.workInFront(stats, now) / target.slots,
    });
    const expectedMs = isStream
      ? service.expectedFirstEventMs(
          stats.model,
          {promptTokens: queuedTokens + promptTokens, running},
          now,
        )
      : 0;
    return {promptTokens, progress, expectedMs};
  }

  private reportSlowTarget(
    target: TargetAnnouncement,
    stats: TargetStats,
    now: number,
  ): void {
    const {onSlowTarget} = this.options;
    const service = this.serviceModelOf(target.service);
    if (
      onSlowTarget !== undefined &&
      now - stats.slowReportedAt >= SLOW_REPORT_INTERVAL_MS &&
      service.isSlow(stats.model, now)
    ) {
      stats.slowReportedAt = now;
      onSlowTarget(target, service.slownessOf(stats.model));
    }
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
   * Records that a call waits from time `now` for an adapter of an engine until the returned
   * function is called, with the time at which the adapter became ready if it did. The wait is
   * taken for the load time of the store if the engine has the model and an idle slot.
   */
  startAdapterWait(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): (readyAt?: number) => void {
    const adapter = adapterName(work.model, work.adapter);
    const {stats, view} = this.snapshotOf(target);
    const slots = this.engineSettings.get(target.service)?.adapterSlots ?? 0;
    const queued = stats.queuedAdapters(view);
    const isFetched =
      work.adapter !== undefined &&
      view !== undefined &&
      view.models.includes(work.model) &&
      view.awaited.length === 0 &&
      view.takenSlots + queued.size < slots &&
      !queued.has(adapter) &&
      !view.loading.includes(adapter) &&
      !stats.recentAdapters.has(adapter);
    const endWait = stats.startAdapterWait(adapter);
    return readyAt => {
      endWait();
      if (isFetched && readyAt !== undefined) {
        const service = this.serviceModelOf(target.service);
        service.recordStoreLoad(readyAt - now, readyAt);
      }
    };
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
        const {model} = this.statsByIncarnation.get(incarnation)!;
        this.serviceModels.forEach(service => service.removeTarget(model));
        this.statsByIncarnation.delete(incarnation);
        this.statsByAnnouncement = new WeakMap();
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
    // A process that took over the address states its own load.
    const isOwn =
      metadata.target === undefined || metadata.target === target.id;
    if (isOwn && metadata.load !== undefined) {
      const {pace, running, waiting} = metadata.load;
      const requests = {own: stats.inFlight, slots: target.slots};
      stats.reportedLoad.record(running + waiting, requests, now);
      if (pace !== undefined) {
        this.pacedServices.add(target.service);
        stats.model.pace.record(pace, now);
      }
    }
  }

  /** Whether the target's agent does not report it as unresponsive. */
  private mayRespond(target: TargetAnnouncement): boolean {
    return this.snapshotOf(target).view?.answers !== false;
  }

  /** Chooses the target at which a plain call is expected to be complete first. */
  private choosePlain(
    targets: readonly TargetAnnouncement[],
    {route, service: {name}}: TargetRequirements,
    now: number,
  ): ChosenTarget | undefined {
    if (!this.usesLearnedCosts(name)) {
      return this.chooseLeastLoaded(targets, now);
    }
    const service = this.serviceModelOf(name);
    service.costs(now);
    const meanWorkMs = service.meanWorkMs(now);
    const ownWork = service.relativeWork(route?.name ?? '', now);
    let target: TargetAnnouncement | undefined;
    let lowestCost = Infinity;
    let completionMs = 0;
    for (const each of targets) {
      const stats = this.statsOf(each);
      const {inFlight, reportedLoad} = stats;
      const uncertainty =
        reportedLoad.uncertainty(now) * (this.options.random() - 0.5);
      const work = plainCost({
        workInFront: this.workInFront(stats, now) + uncertainty,
        slots: each.slots,
        ownWork,
        factor: stats.model.response.factor,
        pace: stats.model.pace.at(now),
        meanWorkMs,
      });
      const isLast =
        (reportedLoad.isFresh(now)
          ? reportedLoad.loadAt(inFlight, now)
          : inFlight) >= each.slots || stats.failureRate > FAILING_SHARE;
      const cost =
        work +
        (each.zone === this.options.zone ? 0 : OTHER_ZONE_COST) +
        stats.failureRate +
        (isLast ? LAST_COST : 0) +
        this.options.random() / 1_000;
      if (cost < lowestCost) {
        target = each;
        lowestCost = cost;
        completionMs = work * meanWorkMs;
      }
    }
    return target && {...UNKNOWN_TIMES, target, completionMs};
  }

  /** Work of the requests at a target, in units of the service's mean call. */
  private workInFront(stats: TargetStats, now: number): number {
    const {inFlight, inFlightWork, reportedLoad} = stats;
    const others = reportedLoad.loadAt(inFlight, now) - inFlight;
    return Math.max(0, inFlightWork) + others;
  }

  /** Whether what was learned of the targets of a service decides between them. */
  private usesLearnedCosts(service: string): boolean {
    return (
      this.options.requiresStatedPace !== true ||
      this.pacedServices.has(service)
    );
  }

  /** Chooses the target with the fewest requests for its slots. */
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
    return target && {...UNKNOWN_TIMES, target};
  }

  private relativeLoad(target: TargetAnnouncement, now: number): number {
    const {failureRate, inFlight, reportedLoad} = this.statsOf(target);
    const load = reportedLoad.isFresh(now)
      ? reportedLoad.loadAt(inFlight, now)
      : inFlight;
    const zone = target.zone === this.options.zone ? 0 : OTHER_ZONE_COST;
    return load / target.slots + zone + failureRate;
  }

  private chooseEngine(
    targets: readonly TargetAnnouncement[],
    requirements: TargetRequirements,
    work: ModelWork,
    now: number,
  ): ChosenTarget | undefined {
    const adapter = adapterName(work.model, work.adapter);
    const {route} = requirements;
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
    this.engineSettings.set(name, engine);
    const service = this.serviceModelOf(name);
    const isLearned = this.usesLearnedCosts(name);
    const costs = isLearned
      ? {...service.costs(now), ...statedLoadCosts(engine, work.model)}
      : PRIOR_COSTS;
    const candidates = targets.map(target => {
      const snapshot = this.snapshotOf(target);
      const candidate = toEngineCandidate(snapshot, engineRequirements, now);
      return isLearned ? candidate : withoutLearned(candidate);
    });
    const {hiddenRequests} = service;
    this.recordRequests(service, targets);
    hiddenRequests.recordChoice(adapter, now);
    const best = chooseEngine(
      {
        affinityKey: adapter,
        zone: this.options.zone,
        promptTokens: work.promptTokens,
        memoryTokens: memoryTokensOf(work),
        maxPauseMs: route?.maxGapMs,
      },
      candidates,
      {
        costs,
        hiddenRequests: isLearned
          ? hiddenRequests.count(this.slotReleases.meanDurationMs(name))
          : 0,
        hiddenShare: hiddenRequests.shareOf(adapter, now),
        random: this.options.random,
      },
    );
    if (best === undefined) {
      return undefined;
    }
    const {hasRoom, index, pauseMs, processingMs, waitMs} = best;
    const output = route && service.route(route.name).expectedOutput(now);
    return {
      target: targets[index],
      needsAdapter: candidates[index].adapterState !== 'held',
      waitMs,
      processingMs,
      completionMs: waitMs + processingMs + (output?.events ?? 0) * pauseMs,
      pauseMs,
      lacksMemory: isLearned && !hasRoom,
    };
  }

  /** Records what reports say of the requests of this and other entries. */
  private recordRequests(
    {hiddenRequests}: ServiceModel,
    targets: readonly TargetAnnouncement[],
  ): void {
    let reported = 0;
    let own = 0;
    for (const target of targets) {
      const {stats, view} = this.snapshotOf(target);
      if (view !== undefined) {
        reported += view.running + view.waiting;
        own += stats.inFlight;
      }
    }
    hiddenRequests.recordRequests(reported, own);
  }

  private serviceModelOf(name: string): ServiceModel {
    let model = this.serviceModels.get(name);
    if (model === undefined) {
      model = new ServiceModel();
      this.serviceModels.set(name, model);
    }
    return model;
  }

  private snapshotOf(target: TargetAnnouncement): EngineSnapshot {
    const view = this.options.engineView(target.address);
    const isCurrent =
      view !== undefined && isSameIncarnation(view.bornAt, target.bornAt);
    return {
      target,
      stats: this.statsOf(target),
      view: isCurrent ? this.boundCounts(view, target) : undefined,
    };
  }

  /** Limits the requests that an engine's report states. */
  private boundCounts(
    view: EngineView,
    {service, slots}: TargetAnnouncement,
  ): EngineView {
    const limit = this.engineSettings.get(service)?.batchLimit ?? slots;
    const running = boundLoad(view.running, limit);
    const waiting = boundLoad(view.waiting, limit);
    return running === view.running && waiting === view.waiting
      ? view
      : {...view, running, waiting};
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
    const known = this.statsByAnnouncement.get(target);
    if (known !== undefined) {
      return known;
    }
    const incarnation = incarnationOf(target);
    let stats = this.statsByIncarnation.get(incarnation);
    if (stats === undefined) {
      stats = new TargetStats();
      this.statsByIncarnation.set(incarnation, stats);
      this.serviceModelOf(target.service).addTarget(stats.model);
    }
    this.statsByAnnouncement.set(target, stats);
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
    if (this.pauseEnds.size === 0) {
      return false;
    }
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

/** Tokens of memory that a call is expected to take: its prompt and its output. */
function memoryTokensOf({maxOutputTokens, promptTokens}: ModelWork): number {
  return promptTokens + maxOutputTokens * EXPECTED_OUTPUT_SHARE;
}

/** Records a prompt that is sent to an engine; returns its tokens that were not cached before. */
function recordPrompt(
  {promptCache}: TargetStats,
  work: ModelWork,
  now: number,
): number {
  const adapter = adapterName(work.model, work.adapter);
  const cached = promptCache.cachedTokens(adapter, work.parts, now);
  promptCache.recordPrompt(adapter, work.parts, now);
  return Math.max(0, work.promptTokens - cached);
}

/** A candidate that is taken to be like all others of its service. */
function withoutLearned(candidate: EngineCandidate): EngineCandidate {
  return {
    ...candidate,
    promisedTokens: 0,
    prefillFactor: 1,
    decodeFactor: 1,
    pace: 1,
  };
}
