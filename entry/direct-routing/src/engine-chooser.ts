import {
  adapterName,
  type Service,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import {chooseEngine, type EngineCandidate} from '@marigoldspur/engine-choice';
import {
  PRIOR_COSTS,
  statedLoadCosts,
  type ServiceModel,
} from '@marigoldspur/expected-cost';
import {modelRoomOf} from '@marigoldspur/model-memory';
import {toEngineCandidate} from './engine-candidate.js';
import {memoryTokensOf} from './memory-tokens.js';
import type {ServiceStatsRegistry} from './service-stats.js';
import type {ChosenTarget, TargetRequirements} from './target-choice.js';
import type {TargetStatsRegistry} from './target-stats-registry.js';
import type {ModelWork} from './wire-format.js';

/** Options of a chooser of engines. */
export interface EngineChooserOptions {
  /** Availability zone of this process. */
  readonly zone: string;
  readonly services: ServiceStatsRegistry;
  readonly targetStats: Pick<TargetStatsRegistry, 'snapshotOf'>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** Chooses the engines of calls with work for a model. */
export class EngineChooser {
  constructor(private readonly options: EngineChooserOptions) {}

  /**
   * Chooses the engine of a call at time `now`; undefined if none can serve it. An engine that has
   * to unload another model first is chosen only if no other one can get the model of the call.
   */
  choose(
    targets: readonly TargetAnnouncement[],
    requirements: TargetRequirements & {readonly work: ModelWork},
    now: number,
  ): ChosenTarget | undefined {
    const {free, unloading} = this.groupByModelRoom(targets, requirements);
    if (free.length > 0 || unloading.length > 0) {
      const usable = free.length > 0 ? free : unloading;
      return this.chooseAmong(usable, requirements, now);
    }
    const chosen = this.chooseAmong(targets, requirements, now);
    const {service, work} = requirements;
    const {modelLoadMs} = statedLoadCosts(service.engine, work.model);
    return chosen && {...chosen, missingModelLoadMs: modelLoadMs};
  }

  /** Engines that can get the model of a call, apart from those that unload another one first. */
  private groupByModelRoom(
    targets: readonly TargetAnnouncement[],
    {
      service: {engine},
      work,
    }: {readonly service: Service; readonly work: ModelWork},
  ): {
    readonly free: readonly TargetAnnouncement[];
    readonly unloading: readonly TargetAnnouncement[];
  } {
    if (engine?.memoryMb === undefined || engine.models.length <= 1) {
      return {free: targets, unloading: []};
    }
    const free: TargetAnnouncement[] = [];
    const unloading: TargetAnnouncement[] = [];
    for (const target of targets) {
      const {view} = this.options.targetStats.snapshotOf(target);
      const room = modelRoomOf(engine, view, work);
      if (room === 'free') {
        free.push(target);
      } else if (room === 'after-unload') {
        unloading.push(target);
      }
    }
    return {free, unloading};
  }

  private chooseAmong(
    targets: readonly TargetAnnouncement[],
    requirements: TargetRequirements & {readonly work: ModelWork},
    now: number,
  ): ChosenTarget | undefined {
    const {random, services, zone} = this.options;
    const {route, service, work} = requirements;
    const {engine, name} = service;
    const adapter = adapterName(work.model, work.adapter);
    const stats = services.statsOf(name);
    const {model} = stats;
    stats.engine = engine;
    const isLearned = services.usesLearnedCosts(name);
    const costs = isLearned
      ? {...model.costs(now), ...statedLoadCosts(engine, work.model)}
      : PRIOR_COSTS;
    const known = this.createCandidates(
      targets,
      {...requirements, adapter},
      now,
    );
    const candidates = isLearned ? known : known.map(withoutLearned);
    const {hiddenRequests} = model;
    this.recordRequests(model, targets);
    hiddenRequests.recordChoice(adapter, now);
    const best = chooseEngine(
      {
        affinityKey: adapter,
        zone,
        promptTokens: work.promptTokens,
        memoryTokens: memoryTokensOf(work),
        maxPauseMs: route?.maxGapMs,
      },
      candidates,
      {
        costs,
        hiddenRequests: isLearned
          ? hiddenRequests.count(services.slotReleases.meanDurationMs(name))
          : 0,
        hiddenShare: hiddenRequests.shareOf(adapter, now),
        random,
      },
    );
    if (best === undefined) {
      return undefined;
    }
    const {hasRoom, index, pauseMs, processingMs, waitMs} = best;
    const output = route && model.route(route.name).expectedOutput(now);
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

  private createCandidates(
    targets: readonly TargetAnnouncement[],
    requirements: TargetRequirements & {
      readonly work: ModelWork;
      readonly adapter: string;
    },
    now: number,
  ): readonly EngineCandidate[] {
    const {services, targetStats} = this.options;
    const {engine, name} = requirements.service;
    const slotReleaseIntervalMs = services.slotReleases.releaseIntervalMs(
      name,
      engine?.adapterSlots ?? 0,
    );
    const engineRequirements = {...requirements, slotReleaseIntervalMs};
    return targets.map(target =>
      toEngineCandidate(
        targetStats.snapshotOf(target),
        engineRequirements,
        now,
      ),
    );
  }

  /** Records what reports say of the requests of this and other entries. */
  private recordRequests(
    {hiddenRequests}: ServiceModel,
    targets: readonly TargetAnnouncement[],
  ): void {
    let reported = 0;
    let own = 0;
    for (const target of targets) {
      const {stats, view} = this.options.targetStats.snapshotOf(target);
      if (view !== undefined) {
        reported += view.running + view.waiting;
        own += stats.inFlight;
      }
    }
    hiddenRequests.recordRequests(reported, own);
  }
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
