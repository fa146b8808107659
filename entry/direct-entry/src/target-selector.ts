import type {
  EngineView,
  Service,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {adapterName, isSameIncarnation} from '@marigoldspur/deployment';
import {rankEngines} from '@marigoldspur/engine-choice';
import {FailureDetector, type Evidence} from '@marigoldspur/suspicion';
import type {ResponseMetadata, ModelWork} from './wire-format.js';
import {toEngineCandidate, type EngineSnapshot} from './engine-candidate.js';
import {SlotReleaseEstimator} from './slot-release-estimator.js';
import {TargetStats} from './target-stats.js';

/** What a target book works with. */
export interface TargetSelectorOptions {
  /** Availability zone of this process. */
  readonly zone: string;
  /** The targets that are known. */
  readonly targets: () => readonly TargetAnnouncement[];
  /** The last known state of the engine at an address. */
  readonly engineView: (address: string) => EngineView | undefined;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** What a call needs of a target. */
export interface TargetRequirements {
  readonly service: Service;
  readonly work?: ModelWork;
  /** The version of the adapter that has to serve it, where one was named. */
  readonly version?: number;
  /** Identities of targets that are not to be used. */
  readonly excluded: ReadonlySet<string>;
}

/** The target of a call. */
export interface ChosenTarget {
  readonly target: TargetAnnouncement;
  /** Whether the engine has to load the adapter first. */
  readonly needsAdapter: boolean;
  /** Expected time until the target turns to the call, in milliseconds; 0 where it is not known. */
  readonly waitMs: number;
  /** Expected time from then until the answer begins, in milliseconds; 0 where it is not known. */
  readonly ownMs: number;
}

/** A call that was sent to a target. */
export interface TargetCallTracker {
  /** The head of the answer came. */
  recordResponse(head: ResponseMetadata, failed: boolean, now: number): void;
  /** The first event came, so that the prompt is read. */
  recordFirstEvent(): void;
  /** The call has ended at time `now`. */
  end(now: number): void;
}

/** A report of its load that a target gave with an answer is used for so long, in milliseconds. */
const REPORT_VALID_MS = 500;
/** Weight of the latest answer in the share of failed ones. */
const FAILURE_WEIGHT = 0.15;
/** Expected share of the stated maximum of output tokens. */
const OUTPUT_SHARE = 0.5;
/** A target in another availability zone costs this share of a slot more. */
const OTHER_ZONE_SHARE = 0.05;
/** Without probes a suspected target is tried again after twice this time, in milliseconds. */
const SUSPICION_HALF_LIFE_MS = 1_500;

/** Chooses targets by what they, their agents and this process's own calls tell of them. */
export class TargetSelector {
  private readonly records = new Map<string, TargetStats>();
  private readonly slotTurns = new SlotReleaseEstimator();
  private readonly suspicion = new FailureDetector({
    halfLifeMs: SUSPICION_HALF_LIFE_MS,
  });

  constructor(private readonly options: TargetSelectorOptions) {}

  /** The target of a call at time `now`; undefined where none can serve it. */
  choose(need: TargetRequirements, now: number): ChosenTarget | undefined {
    const serving = this.options
      .targets()
      .filter(target => serves(target, need) && this.mayAnswer(target));
    const judged = this.suspicion.assess(serving.map(lifeOf), now);
    const usable = new Set(judged.usable);
    const targets = serving.filter(target => usable.has(lifeOf(target)));
    return need.service.engine === undefined || need.work === undefined
      ? this.chooseLeastLoaded(targets, now)
      : this.chooseEngine(targets, need, need.work, now);
  }

  /** Takes note that a call is sent to a target at time `now`. */
  startCall(
    target: TargetAnnouncement,
    work: ModelWork | undefined,
    now: number,
  ): TargetCallTracker {
    const record = this.record(target);
    record.inFlight += 1;
    let pending = 0;
    let hasAnswered = false;
    if (work !== undefined) {
      const adapter = adapterName(work.model, work.adapter);
      const cached = record.promptCache.cachedTokens(adapter, work.parts, now);
      pending = Math.max(0, work.promptTokens - cached);
      record.promptCache.recordPrompt(adapter, work.parts, now);
    }
    record.pendingTokens += pending;
    const begun = () => {
      record.pendingTokens -= pending;
      pending = 0;
    };
    return {
      recordResponse: (head, failed, at) => {
        hasAnswered = !failed && !head.notRun;
        this.answered(target, head, failed, at);
      },
      recordFirstEvent: begun,
      end: at => {
        begun();
        record.inFlight -= 1;
        if (hasAnswered) {
          this.slotTurns.recordCall(target.service, at - now);
        }
      },
    };
  }

  /** A target did not answer, or not as it should. */
  recordFailure(
    target: TargetAnnouncement,
    evidence: Evidence,
    now: number,
  ): boolean {
    const life = lifeOf(target);
    const before = this.suspicion.isSuspected(life, now);
    this.suspicion.recordFailure(life, evidence, now);
    return !before && this.suspicion.isSuspected(life, now);
  }

  /** An engine said that it does not hold an adapter in the version that was asked for. */
  recordMissingAdapter(
    target: TargetAnnouncement,
    work: ModelWork,
    now: number,
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    this.record(target).recordMissingAdapter(adapter, now);
  }

  /** A call waits for an adapter of an engine until the returned function is called. */
  awaits(target: TargetAnnouncement, work: ModelWork): () => void {
    const adapter = adapterName(work.model, work.adapter);
    return this.record(target).startAdapterWait(adapter);
  }

  /** Forgets targets that are no longer known. */
  forgetUnknownTargets(): void {
    const known = new Set(this.options.targets().map(lifeOf));
    this.suspicion.retainTargets(known);
    for (const life of this.records.keys()) {
      if (!known.has(life)) {
        this.records.delete(life);
      }
    }
  }

  private answered(
    target: TargetAnnouncement,
    head: ResponseMetadata,
    failed: boolean,
    now: number,
  ): void {
    const record = this.record(target);
    this.suspicion.recordSuccess(lifeOf(target));
    record.failureRate +=
      FAILURE_WEIGHT * ((failed ? 1 : 0) - record.failureRate);
    if (head.load !== undefined) {
      record.reportedLoad = head.load.running + head.load.waiting;
      record.reportedAt = now;
    }
  }

  /** Whether no agent says that the target does not answer. */
  private mayAnswer(target: TargetAnnouncement): boolean {
    return this.known(target).view?.answers !== false;
  }

  private chooseLeastLoaded(
    targets: readonly TargetAnnouncement[],
    now: number,
  ): ChosenTarget | undefined {
    const weighed = targets.map(target => ({
      target,
      cost: this.loadShare(target, now) + this.options.random() / 1_000,
    }));
    weighed.sort((a, b) => a.cost - b.cost);
    const target = weighed.at(0)?.target;
    return target && {target, needsAdapter: false, waitMs: 0, ownMs: 0};
  }

  private loadShare(target: TargetAnnouncement, now: number): number {
    const record = this.record(target);
    const isFresh = now - record.reportedAt < REPORT_VALID_MS;
    const load = Math.max(record.inFlight, isFresh ? record.reportedLoad : 0);
    const zone = target.zone === this.options.zone ? 0 : OTHER_ZONE_SHARE;
    return load / target.slots + zone + record.failureRate;
  }

  private chooseEngine(
    targets: readonly TargetAnnouncement[],
    need: TargetRequirements,
    work: ModelWork,
    now: number,
  ): ChosenTarget | undefined {
    const adapter = adapterName(work.model, work.adapter);
    const {name, engine} = need.service;
    const slotTurnMs = this.slotTurns.releaseIntervalMs(
      name,
      engine?.adapterSlots ?? 0,
    );
    const wanted = {...need, work, adapter, slotTurnMs};
    const candidates = targets.map(target =>
      toEngineCandidate(this.known(target), wanted, now),
    );
    const best = rankEngines(
      {
        affinity: adapter,
        zone: this.options.zone,
        promptTokens: work.promptTokens,
        memoryTokens: work.promptTokens + work.maxOutputTokens * OUTPUT_SHARE,
      },
      candidates,
    ).at(0);
    const index = candidates.findIndex(({name}) => name === best?.name);
    return (
      best && {
        target: targets[index],
        needsAdapter: candidates[index].adapterState !== 'held',
        waitMs: best.waitMs,
        ownMs: best.processingMs,
      }
    );
  }

  private known(target: TargetAnnouncement): EngineSnapshot {
    const view = this.options.engineView(target.address);
    const isCurrent =
      view !== undefined && isSameIncarnation(view.bornAt, target.bornAt);
    return {
      target,
      record: this.record(target),
      view: isCurrent ? view : undefined,
    };
  }

  /** Takes note of what the engine at an address holds. */
  recordEngineView(address: string, view: EngineView): void {
    const target = this.options
      .targets()
      .find(
        each =>
          each.address === address &&
          isSameIncarnation(each.bornAt, view.bornAt),
      );
    if (target !== undefined) {
      this.record(target).recentAdapters.record(view.adapters);
    }
  }

  private record(target: TargetAnnouncement): TargetStats {
    const life = lifeOf(target);
    const known = this.records.get(life) ?? new TargetStats();
    this.records.set(life, known);
    return known;
  }
}

function lifeOf({id, bornAt}: TargetAnnouncement): string {
  return `${id}/${bornAt}`;
}

function serves(target: TargetAnnouncement, need: TargetRequirements): boolean {
  return (
    target.service === need.service.name &&
    !target.leaving &&
    !need.excluded.has(target.id)
  );
}
