import {Result} from 'true-myth';
import type {TargetAnnouncement} from '@marigoldspur/deployment';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import {lateCallRetryDelayMs, type ExpectedWait} from '@marigoldspur/lateness';
import type {AdapterPreparer} from './adapter-preparer.js';
import {hasTimeLeft, remainingPatienceMs, type Call} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {TargetSelector} from './target-selector.js';

/** What a target finder works with. */
export interface TargetFinderOptions {
  readonly fleetView: Pick<FleetView, 'versionOf'>;
  readonly book: Pick<TargetSelector, 'choose'>;
  readonly adapterPreparer: Pick<AdapterPreparer, 'run'>;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** An engine's start is announced within about a second, in seconds. */
const NO_TARGET_RETRY_SECONDS = 0.5;
const SECOND_MS = 1_000;

/** Finds targets that hold what calls need, and has adapters made ready. */
export class TargetFinder {
  constructor(private readonly options: TargetFinderOptions) {}

  /** The version that has to serve some work: the one that was named last, if any. */
  versionFor(work: ModelWork | undefined): number | undefined {
    return work && this.options.fleetView.versionOf(work.model, work.adapter);
  }

  /**
   * A target that holds what the call needs, none of the excluded ones, or why there is
   * none in time. The caller has waited for an event since `since`.
   */
  async find(
    call: Call,
    excluded: ReadonlySet<string>,
    since: number,
  ): Promise<Result<TargetAnnouncement, Refusal>> {
    const {head, service} = call;
    const {work} = head;
    const {adapterPreparer: adapterWait, book, random} = this.options;
    const unready = new Set(excluded);
    for (;;) {
      const version = this.versionFor(work);
      const now = performance.now();
      const need = {service, work, version, excluded: unready};
      const chosen = book.choose(need, now);
      if (chosen === undefined || !hasTimeLeft(call, now)) {
        return Result.err(noTarget());
      }
      const {needsAdapter, ownMs, target, waitMs} = chosen;
      const patienceMs = remainingPatienceMs(call, since, now);
      const wait = {ownMs, patienceMs, waitMs};
      const pauseMs = lateCallRetryDelayMs(wait, random());
      if (pauseMs !== undefined) {
        return Result.err(tooLate(wait, pauseMs));
      }
      if (work === undefined || !needsAdapter) {
        return Result.ok(target);
      }
      if (await adapterWait.run(call, {target, work, version, since})) {
        return Result.ok(target);
      }
      unready.add(target.id);
    }
  }
}

function noTarget(): Refusal {
  const message = 'no target serves this now';
  return new Refusal(
    'not-run',
    503,
    'no_target',
    message,
    NO_TARGET_RETRY_SECONDS,
  );
}

function tooLate(
  {ownMs, patienceMs, waitMs}: ExpectedWait,
  pauseMs: number,
): Refusal {
  const [wait, own, patience] = [waitMs, ownMs, patienceMs].map(Math.round);
  const expected = `the best target is free after ${wait} ms and needs ${own} ms`;
  const leaves = `the caller leaves after ${patience} ms`;
  return new Refusal(
    'not-run',
    503,
    'too_late',
    `${expected}, and ${leaves}`,
    pauseMs / SECOND_MS,
  );
}
