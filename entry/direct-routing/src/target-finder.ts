import {Result} from 'true-myth';
import type {Blame, RequestBlame} from '@marigoldspur/crash-attribution';
import type {StreamOrigin, TargetAnnouncement} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import {
  lateCallRetryDelayMs,
  type ExpectedWait,
} from '@marigoldspur/overload-protection';
import type {AdapterPreparer} from './adapter-preparer.js';
import type {CrashMonitor} from './crash-monitor.js';
import type {RequestCrashMonitor} from './request-crash-monitor.js';
import {
  findDenial,
  hasTimeLeft,
  priorityOf,
  remainingPatienceMs,
  type Call,
} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {TargetLimits} from './target-limits.js';
import type {ChosenTarget, TargetRequirements} from './target-choice.js';
import type {TargetSelector} from './target-selector.js';

/** Options of a target finder. */
export interface TargetFinderOptions {
  readonly fleetView: Pick<FleetView, 'versionOf'>;
  readonly selector: Pick<
    TargetSelector,
    'choose' | 'isAvailable' | 'mayServeLater' | 'pauseRemainingMs'
  >;
  readonly adapterPreparer: Pick<AdapterPreparer, 'prepare'>;
  readonly crashMonitor: Pick<CrashMonitor, 'findBlock' | 'recordRefusal'>;
  readonly requestCrashes: Pick<RequestCrashMonitor, 'findBlock' | 'refuse'>;
  readonly targetLimits: Pick<
    TargetLimits,
    'acquire' | 'busyTargets' | 'isLimited'
  >;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Retry delay for callers while no target serves a call, in seconds. A started
 * engine is announced within about a second.
 */
const NO_TARGET_RETRY_AFTER_SECONDS = 0.5;
/**
 * Retry delay for callers while no engine has memory for a call, in seconds. Calls end, and
 * reports show it, within about this time.
 */
const FULL_MEMORY_RETRY_AFTER_SECONDS = 0.4;
/**
 * Retry delay for calls that crash engines, in seconds. They stay blocked until none has
 * come for half an hour.
 */
const BLOCKED_RETRY_AFTER_SECONDS = 1_800;
/**
 * Maximum time that a call waits for a permit of a target with a request limit, in
 * milliseconds. A call waits only if no other target is left.
 */
const MAX_PERMIT_WAIT_MS = 500;
/** Minimum retry delay for calls beyond the limits of all targets, in milliseconds. */
const MIN_LIMITED_DELAY_MS = 200;
/** Jitter as a share of that delay, which spreads callers that are refused together. */
const LIMITED_JITTER_SHARE = 0.5;
/** Maximum delay beyond a pause, which spreads callers that are refused together, in milliseconds. */
const PAUSE_JITTER_MS = 300;
const MS_PER_SECOND = 1_000;

/** The state of the search for a target of one call. */
interface TargetSearch {
  /** IDs of targets that must not be used. */
  readonly unavailable: Set<string>;
  /** IDs of targets with a request limit that are used only if no other one is left or has memory. */
  readonly postponed: Set<string>;
  /** Since when the caller has waited for an event, as a `performance.now()` time. */
  readonly waitingSince: number;
  /** Origin of the stream that the call continues; undefined if any target may serve it. */
  readonly origin: StreamOrigin | undefined;
}

/** A target that was chosen for a call. */
interface TargetChoice extends ChosenTarget {
  readonly requirements: TargetRequirements;
  /** Whether no other target than those passed over is left or has memory for the call. */
  readonly isLastResort: boolean;
  /** Maximum time that the call waits for a permit of the target, in milliseconds. */
  readonly maxWaitMs: number;
}

/** Whether a call can be sent to a target; if its limit forbids that, the time until it does not. */
type Preparation =
  'ready' | 'outdated' | 'unavailable' | {readonly waitMs: number};

/** Finds targets for calls and has the required adapters loaded. */
export class TargetFinder {
  constructor(private readonly options: TargetFinderOptions) {}

  /**
   * The version that must serve the work: the newest one that control has named
   * for the adapter; undefined if it has named none.
   */
  versionFor(work: ModelWork | undefined): number | undefined {
    return work && this.options.fleetView.versionOf(work.model, work.adapter);
  }

  /**
   * Returns a target that holds what the call needs and is not excluded, or the
   * reason why none is available in time. The caller has waited for an event
   * since `waitingSince`. If `origin` is given, the target continues a stream.
   */
  async find(
    call: Call,
    excluded: ReadonlySet<string>,
    waitingSince: number,
    origin?: StreamOrigin,
  ): Promise<Result<TargetAnnouncement, Refusal>> {
    const {work} = call.metadata;
    const {random} = this.options;
    const search: TargetSearch = {
      unavailable: new Set(excluded),
      postponed: new Set(),
      waitingSince,
      origin,
    };
    for (;;) {
      const blocked = findDenial(call) ?? this.refuseBlocked(call);
      if (blocked !== undefined) {
        return Result.err(blocked);
      }
      const version = this.versionFor(work);
      const now = performance.now();
      const chosen = this.choose(call, search, version, now);
      if (chosen.isErr) {
        return Result.err(chosen.error);
      }
      const {isLastResort, needsAdapter, target} = chosen.value;
      const isLimited = this.options.targetLimits.isLimited(target);
      if (isLimited && needsAdapter && !isLastResort) {
        search.postponed.add(target.id);
        continue;
      }
      const prepared = await this.prepare(call, search, chosen.value);
      if (prepared === 'ready') {
        return Result.ok(target);
      }
      if (prepared === 'unavailable') {
        search.unavailable.add(target.id);
      } else if (prepared !== 'outdated') {
        if (isLastResort) {
          const {waitMs} = prepared;
          return Result.err(createLimitedRefusal(waitMs, random()));
        }
        search.postponed.add(target.id);
      }
    }
  }

  /** Whether a target that was found may still serve its call after a short wait. */
  isAvailable(
    call: Call,
    target: TargetAnnouncement,
    excluded: ReadonlySet<string>,
    origin?: StreamOrigin,
  ): boolean {
    const {metadata, route, service} = call;
    const {work} = metadata;
    const version = this.versionFor(work);
    const requirements = {service, route, work, version, origin, excluded};
    return !this.isOutdated(call, {requirements, target});
  }

  /** Chooses a target, or returns why none is available in time. */
  private choose(
    call: Call,
    search: TargetSearch,
    version: number | undefined,
    now: number,
  ): Result<TargetChoice, Refusal> {
    const {selector, random} = this.options;
    const {metadata, service} = call;
    const {origin, unavailable, waitingSince} = search;
    const requirements = {
      service,
      route: call.route,
      work: metadata.work,
      version,
      origin,
      excluded: unavailable,
    };
    const passedOver = this.passedOverTargets(search, now);
    const excluded = new Set([...unavailable, ...passedOver]);
    const preferred = selector.choose({...requirements, excluded}, now);
    const isLastResort =
      passedOver.length > 0 &&
      (preferred === undefined ||
        preferred.lacksMemory ||
        preferred.missingModelLoadMs !== undefined);
    const chosen = isLastResort
      ? selector.choose(requirements, now)
      : preferred;
    if (chosen === undefined || !hasTimeLeft(call, now)) {
      const pauseMs = selector.pauseRemainingMs(requirements, now);
      if (pauseMs !== undefined && hasTimeLeft(call, now)) {
        return Result.err(createPausedRefusal(pauseMs, random()));
      }
      return Result.err(
        origin === undefined
          ? createNoTargetRefusal()
          : createNoContinuationRefusal(selector.mayServeLater(requirements)),
      );
    }
    const {missingModelLoadMs} = chosen;
    if (missingModelLoadMs !== undefined) {
      const model = call.metadata.work?.model ?? '';
      return Result.err(
        createNoModelMemoryRefusal(model, missingModelLoadMs, random()),
      );
    }
    if (chosen.lacksMemory) {
      return Result.err(createFullMemoryRefusal(random()));
    }
    const {processingMs, waitMs} = chosen;
    const patienceMs = remainingPatienceMs(call, waitingSince, now);
    const expectedWait = {processingMs, patienceMs, waitMs};
    const retryDelayMs = lateCallRetryDelayMs(expectedWait, random());
    if (retryDelayMs !== undefined) {
      return Result.err(createTooLateRefusal(expectedWait, retryDelayMs));
    }
    const maxWaitMs = isLastResort
      ? Math.max(0, Math.min(MAX_PERMIT_WAIT_MS, patienceMs - processingMs))
      : 0;
    return Result.ok({...chosen, requirements, isLastResort, maxWaitMs});
  }

  /** IDs of the targets that are used only if no other one is left or has memory for the call. */
  private passedOverTargets({postponed}: TargetSearch, now: number): string[] {
    return [...postponed, ...this.options.targetLimits.busyTargets(now)];
  }

  /** Has the adapter loaded and gets the permit that a call needs at a target. */
  private async prepare(
    call: Call,
    {waitingSince}: TargetSearch,
    choice: TargetChoice,
  ): Promise<Preparation> {
    const {adapterPreparer, targetLimits} = this.options;
    const {maxWaitMs, needsAdapter, requirements, target} = choice;
    const {id, work} = call.metadata;
    if (work !== undefined && needsAdapter) {
      const preparation = {target, work, requirements, waitingSince};
      const isReady = await adapterPreparer.prepare(call, preparation);
      if (this.isOutdated(call, choice)) {
        return 'outdated';
      }
      if (!isReady) {
        return 'unavailable';
      }
    }
    if (!targetLimits.isLimited(target)) {
      return 'ready';
    }
    const priority = priorityOf(call);
    const seeker = {id, priority, maxWaitMs, signal: call.signal};
    const {isGranted, waitMs} = await targetLimits.acquire(target, seeker);
    if (this.isOutdated(call, choice)) {
      return 'outdated';
    }
    return isGranted ? 'ready' : {waitMs};
  }

  /** Whether a choice does not hold any more after a wait. */
  private isOutdated(
    call: Call,
    {requirements, target}: Pick<TargetChoice, 'requirements' | 'target'>,
  ): boolean {
    const {crashMonitor, requestCrashes, selector} = this.options;
    const {version, work} = requirements;
    return (
      findDenial(call) !== undefined ||
      requestCrashes.findBlock(call) !== undefined ||
      crashMonitor.findBlock(work) !== undefined ||
      !selector.isAvailable(target, requirements, performance.now()) ||
      this.versionFor(work) !== version
    );
  }

  /** The refusal of a call that crashes engines; undefined for other calls. */
  private refuseBlocked(call: Call): Refusal | undefined {
    const {crashMonitor, requestCrashes} = this.options;
    const {work} = call.metadata;
    const now = performance.now();
    const requestBlame = requestCrashes.refuse(call, now);
    if (requestBlame !== undefined) {
      return createBlockedRequestRefusal(requestBlame);
    }
    const blame = crashMonitor.findBlock(work);
    if (blame === undefined || work === undefined) {
      return undefined;
    }
    crashMonitor.recordRefusal(work, blame, now);
    // The record shows whether the block has expired.
    return crashMonitor.findBlock(work) && createBlockedRefusal(blame);
  }
}

function createBlockedRequestRefusal({engines}: RequestBlame): Refusal {
  return new Refusal(
    'not-run',
    503,
    'request_blocked',
    `${engines} engines crashed on this request`,
    BLOCKED_RETRY_AFTER_SECONDS,
  );
}

function createBlockedRefusal({engines, part}: Blame): Refusal {
  const message = `${engines} engines crashed on calls with the prompt part "${part}"`;
  return new Refusal(
    'not-run',
    503,
    'prompt_part_blocked',
    message,
    BLOCKED_RETRY_AFTER_SECONDS,
  );
}

function createLimitedRefusal(waitMs: number, random: number): Refusal {
  const delayMs =
    Math.max(MIN_LIMITED_DELAY_MS, waitMs) *
    (1 + LIMITED_JITTER_SHARE * random);
  return new Refusal(
    'not-run',
    503,
    'request_limit',
    `all targets have request limits; the next request is free in ${Math.round(waitMs)} ms`,
    delayMs / MS_PER_SECOND,
  );
}

function createNoTargetRefusal(): Refusal {
  const message = 'no target currently serves this call';
  return new Refusal(
    'not-run',
    503,
    'no_target',
    message,
    NO_TARGET_RETRY_AFTER_SECONDS,
  );
}

/** The refusal of a call while all targets that would serve it asked for a pause. */
function createPausedRefusal(pauseMs: number, random: number): Refusal {
  const delayMs = pauseMs + random * PAUSE_JITTER_MS;
  return new Refusal(
    'not-run',
    503,
    'targets_paused',
    `all targets of this call asked for a pause; the first one ends in ${Math.round(pauseMs)} ms`,
    Math.ceil(delayMs) / MS_PER_SECOND,
  );
}

/** The refusal of a call that continues a stream while no target of its software version serves it. */
function createNoContinuationRefusal(mayServeLater: boolean): Refusal {
  return new Refusal(
    'not-run',
    503,
    'no_target_of_version',
    'no target with the software version that began the stream serves this call',
    mayServeLater ? NO_TARGET_RETRY_AFTER_SECONDS : undefined,
  );
}

/** The refusal of a call for which no engine has memory. */
function createFullMemoryRefusal(random: number): Refusal {
  const message = 'no engine has memory for this call now';
  return new Refusal(
    'not-run',
    503,
    'memory_full',
    message,
    FULL_MEMORY_RETRY_AFTER_SECONDS * (1 + LIMITED_JITTER_SHARE * random),
  );
}

/**
 * The refusal of a call while other calls use the models of all engines. An engine that gets room
 * or joins serves the call once it has loaded the model.
 */
function createNoModelMemoryRefusal(
  model: string,
  loadMs: number,
  random: number,
): Refusal {
  const delayMs =
    Math.max(NO_TARGET_RETRY_AFTER_SECONDS * MS_PER_SECOND, loadMs) *
    (1 + LIMITED_JITTER_SHARE * random);
  return new Refusal(
    'not-run',
    503,
    'no_model_memory',
    `no engine has memory for model "${model}" beside the models that other calls use`,
    delayMs / MS_PER_SECOND,
  );
}

function createTooLateRefusal(
  {processingMs, patienceMs, waitMs}: ExpectedWait,
  retryDelayMs: number,
): Refusal {
  const [wait, processing, patience] = [waitMs, processingMs, patienceMs].map(
    Math.round,
  );
  const expected = `the best target is available after ${wait} ms and needs ${processing} ms to respond`;
  const givesUp = `the caller gives up after ${patience} ms`;
  return new Refusal(
    'not-run',
    503,
    'too_late',
    `${expected}, but ${givesUp}`,
    retryDelayMs / MS_PER_SECOND,
  );
}
