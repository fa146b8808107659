import {Result} from 'true-myth';
import type {Blame} from '@marigoldspur/crash-attribution';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import {
  lateCallRetryDelayMs,
  type ExpectedWait,
} from '@marigoldspur/overload-protection';
import type {AdapterPreparer} from './adapter-preparer.js';
import type {CrashMonitor} from './crash-monitor.js';
import {hasTimeLeft, remainingPatienceMs, type Call} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {TargetSelector} from './target-selector.js';

/** Options of a target finder. */
export interface TargetFinderOptions {
  readonly fleetView: Pick<FleetView, 'versionOf'>;
  readonly selector: Pick<TargetSelector, 'choose' | 'isAvailable'>;
  readonly adapterPreparer: Pick<AdapterPreparer, 'prepare'>;
  readonly crashMonitor: Pick<CrashMonitor, 'findBlock' | 'recordRefusal'>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Retry delay for callers while no target serves a call, in seconds. A started
 * engine is announced within about a second.
 */
const NO_TARGET_RETRY_AFTER_SECONDS = 0.5;
/**
 * Retry delay for calls with a part that crashes engines, in seconds. The part stays
 * blocked until no such calls have come for half an hour.
 */
const BLOCKED_RETRY_AFTER_SECONDS = 1_800;
const MS_PER_SECOND = 1_000;

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
   * since `waitingSince`.
   */
  async find(
    call: Call,
    excluded: ReadonlySet<string>,
    waitingSince: number,
  ): Promise<Result<TargetAnnouncement, Refusal>> {
    const {metadata, service} = call;
    const {work} = metadata;
    const {adapterPreparer, crashMonitor, selector, random} = this.options;
    const unavailable = new Set(excluded);
    for (;;) {
      const blocked = this.refuseBlocked(work);
      if (blocked !== undefined) {
        return Result.err(blocked);
      }
      const version = this.versionFor(work);
      const now = performance.now();
      const requirements = {service, work, version, excluded: unavailable};
      const chosen = selector.choose(requirements, now);
      if (chosen === undefined || !hasTimeLeft(call, now)) {
        return Result.err(createNoTargetRefusal());
      }
      const {needsAdapter, processingMs, target, waitMs} = chosen;
      const patienceMs = remainingPatienceMs(call, waitingSince, now);
      const expectedWait = {processingMs, patienceMs, waitMs};
      const retryDelayMs = lateCallRetryDelayMs(expectedWait, random());
      if (retryDelayMs !== undefined) {
        return Result.err(createTooLateRefusal(expectedWait, retryDelayMs));
      }
      if (work === undefined || !needsAdapter) {
        return Result.ok(target);
      }
      const isReady = await adapterPreparer.prepare(call, {
        target,
        work,
        requirements,
        waitingSince,
      });
      const isOutdated =
        crashMonitor.findBlock(work) !== undefined ||
        !selector.isAvailable(target, requirements) ||
        this.versionFor(work) !== version;
      if (isOutdated) {
        continue;
      }
      if (isReady) {
        return Result.ok(target);
      }
      unavailable.add(target.id);
    }
  }

  /** The refusal of a call with a part that crashes engines; undefined for other calls. */
  private refuseBlocked(work: ModelWork | undefined): Refusal | undefined {
    const {crashMonitor} = this.options;
    const blame = crashMonitor.findBlock(work);
    if (blame === undefined || work === undefined) {
      return undefined;
    }
    crashMonitor.recordRefusal(work, blame, performance.now());
    return createBlockedRefusal(blame);
  }
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
