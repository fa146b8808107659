import type {
  EngineView,
  Service,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import {adapterName, isSameStart} from '@marigoldspur/deployment';
import {weighEngines} from '@marigoldspur/engine-choice';
import {SuspicionTable, type Evidence} from '@marigoldspur/suspicion';
import type {AnswerHead, ModelWork} from './dialect.js';
import {engineCandidate, type KnownEngine} from './engine-candidate.js';
import {SlotTurns} from './slot-turns.js';
import {TargetRecord} from './target-record.js';

/** What a target book works with. */
export interface TargetBookOptions {
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
export interface TargetNeed {
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
export interface TargetRun {
  /** The head of the answer came. */
  answered(head: AnswerHead, failed: boolean, now: number): void;
  /** The first event came, so that the prompt is read. */
  begun(): void;
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
export class TargetBook {
  private readonly records = new Map<string, TargetRecord>();
  private readonly slotTurns = new SlotTurns();
  private readonly suspicion = new SuspicionTable({
    halfLifeMs: SUSPICION_HALF_LIFE_MS,
  });

  constructor(private readonly options: TargetBookOptions) {}

  /** The target of a call at time `now`; undefined where none can serve it. */
  choose(need: TargetNeed, now: number): ChosenTarget | undefined {
    const serving = this.options
      .targets()
      .filter(target => serves(target, need) && this.mayAnswer(target));
    const judged = this.suspicion.judge(serving.map(lifeOf), now);
    const usable = new Set(judged.usable);
    const targets = serving.filter(target => usable.has(lifeOf(target)));
    return need.service.engine === undefined || need.work === undefined
      ? this.chooseLeastLoaded(targets, now)
      : this.chooseEngine(targets, need, need.work, now);
  }

  /** Takes note that a call is sent to a target at time `now`. */
  begin(
    target: TargetAnnouncement,
    work: ModelWork | undefined,
    now: number,
  ): TargetRun {
    const record = this.record(target);
    record.inFlight += 1;
    let pending = 0;
    let hasAnswered = false;
    if (work !== undefined) {
      const adapter = adapterName(work.model, work.adapter);
      const cached = record.prompts.cachedTokens(adapter, work.parts, now);
      pending = Math.max(0, work.promptTokens - cached);
      record.prompts.sent(adapter, work.parts, now);
    }
    record.pendingTokens += pending;
    const begun = () => {
      record.pendingTokens -= pending;
      pending = 0;
    };
    return {
      answered: (head, failed, at) => {
        hasAnswered = !failed && !head.notRun;
        this.answered(target, head, failed, at);
      },
      begun,
      end: at => {
        begun();
        record.inFlight -= 1;
        if (hasAnswered) {
          this.slotTurns.ended(target.service, at - now);
        }
      },
    };
  }

  /** A target did not answer, or not as it should. */
  failed(target: TargetAnnouncement, evidence: Evidence, now: number): boolean {
    const life = lifeOf(target);
    const before = this.suspicion.suspects(life, now);
    this.suspicion.failed(life, evidence, now);
    return !before && this.suspicion.suspects(life, now);
  }

  /** An engine said that it does not hold an adapter in the version that was asked for. */
  lacks(target: TargetAnnouncement, work: ModelWork, now: number): void {
    const adapter = adapterName(work.model, work.adapter);
    this.record(target).lacks(adapter, now);
  }

  /** A call waits for an adapter of an engine until the returned function is called. */
  awaits(target: TargetAnnouncement, work: ModelWork): () => void {
    const adapter = adapterName(work.model, work.adapter);
    return this.record(target).awaits(adapter);
  }

  /** Forgets targets that are no longer known. */
  retain(): void {
    const known = new Set(this.options.targets().map(lifeOf));
    this.suspicion.retain(known);
    for (const life of this.records.keys()) {
      if (!known.has(life)) {
        this.records.delete(life);
      }
    }
  }

  private answered(
    target: TargetAnnouncement,
    head: AnswerHead,
    failed: boolean,
    now: number,
  ): void {
    const record = this.record(target);
    this.suspicion.succeeded(lifeOf(target));
    record.failureShare +=
      FAILURE_WEIGHT * ((failed ? 1 : 0) - record.failureShare);
    if (head.load !== undefined) {
      record.reported = head.load.running + head.load.waiting;
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
    const load = Math.max(record.inFlight, isFresh ? record.reported : 0);
    const zone = target.zone === this.options.zone ? 0 : OTHER_ZONE_SHARE;
    return load / target.slots + zone + record.failureShare;
  }

  private chooseEngine(
    targets: readonly TargetAnnouncement[],
    need: TargetNeed,
    work: ModelWork,
    now: number,
  ): ChosenTarget | undefined {
    const adapter = adapterName(work.model, work.adapter);
    const {name, engine} = need.service;
    const slotTurnMs = this.slotTurns.turnMs(name, engine?.adapterSlots ?? 0);
    const wanted = {...need, work, adapter, slotTurnMs};
    const candidates = targets.map(target =>
      engineCandidate(this.known(target), wanted, now),
    );
    const best = weighEngines(
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
        needsAdapter: candidates[index].adapter !== 'held',
        waitMs: best.waitMs,
        ownMs: best.ownMs,
      }
    );
  }

  private known(target: TargetAnnouncement): KnownEngine {
    const view = this.options.engineView(target.address);
    const isCurrent =
      view !== undefined && isSameStart(view.bornAt, target.bornAt);
    return {
      target,
      record: this.record(target),
      view: isCurrent ? view : undefined,
    };
  }

  /** Takes note of what the engine at an address holds. */
  saw(address: string, view: EngineView): void {
    const target = this.options
      .targets()
      .find(
        each =>
          each.address === address && isSameStart(each.bornAt, view.bornAt),
      );
    if (target !== undefined) {
      this.record(target).recent.see(view.adapters);
    }
  }

  private record(target: TargetAnnouncement): TargetRecord {
    const life = lifeOf(target);
    const known = this.records.get(life) ?? new TargetRecord();
    this.records.set(life, known);
    return known;
  }
}

function lifeOf({id, bornAt}: TargetAnnouncement): string {
  return `${id}/${bornAt}`;
}

function serves(target: TargetAnnouncement, need: TargetNeed): boolean {
  return (
    target.service === need.service.name &&
    !target.leaving &&
    !need.excluded.has(target.id)
  );
}
