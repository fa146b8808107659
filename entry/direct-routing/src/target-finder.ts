import {Result} from 'true-myth';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import {
  lateCallRetryDelayMs,
  type ExpectedWait,
} from '@marigoldspur/overload-protection';
import type {AdapterPreparer} from './adapter-preparer.js';
import {hasTimeLeft, remainingPatienceMs, type Call} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {TargetSelector} from './target-selector.js';

/** Options of a target finder. */
export interface TargetFinderOptions {
  readonly fleetView: Pick<FleetView, 'versionOf'>;
  readonly selector: Pick<TargetSelector, 'choose' | 'isAvailable'>;
  readonly adapterPreparer: Pick<AdapterPreparer, 'prepare'>;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Retry delay for callers while no target serves a call, in seconds. A started
 * engine is announced within about a second.
 */
const NO_TARGET_RETRY_AFTER_SECONDS = 0.5;
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
    const {adapterPreparer, selector, random} = this.options;
    const unavailable = new Set(excluded);
    for (;;) {
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
