import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {Result} from 'true-myth';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {Refusal} from '@marigoldspur/faults';
import type {FleetView} from '@marigoldspur/fleet-view';
import type {AdapterRequests} from './adapter-requests.js';
import {hasTimeLeft, MIN_LEFT_MS, patienceLeftMs, type Call} from './call.js';
import type {ModelWork} from './dialect.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {TargetBook} from './target-book.js';

/** What a target finder works with. */
export interface TargetFinderOptions {
  readonly view: Pick<FleetView, 'versionOf'>;
  readonly book: Pick<TargetBook, 'choose' | 'awaits'>;
  readonly adapters: Pick<AdapterRequests, 'prepare'>;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
  /** Whether the agent beside the engine at an address was just heard of, and reaches it. */
  readonly isKept: (address: string, now: number) => boolean;
  /** Gives numbers from 0 up to, not including, 1. */
  readonly random: () => number;
}

/** Time between two looks at whether the agent that was asked still lives, in milliseconds. */
const AGENT_CHECK_MS = 300;
/** An engine reads a prompt of usual size in this time once it holds the adapter, in milliseconds. */
const READING_MS = 250;

/** Finds targets that hold what calls need, and has adapters made ready. */
export class TargetFinder {
  constructor(private readonly options: TargetFinderOptions) {}

  /** The version that has to serve some work: the one that was named last, if any. */
  versionFor(work: ModelWork | undefined): number | undefined {
    return work && this.options.view.versionOf(work.model, work.adapter);
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
    const unready = new Set(excluded);
    for (;;) {
      const version = this.versionFor(work);
      const need = {service, work, version, excluded: unready};
      const now = performance.now();
      const chosen = this.options.book.choose(need, now);
      if (chosen === undefined) {
        return Result.err(noTarget());
      }
      const lateMs = chosen.expectedMs - patienceLeftMs(call, since, now);
      if (lateMs > 0) {
        return Result.err(tooLate(lateMs, this.options.random()));
      }
      const {needsAdapter, target} = chosen;
      const isReady =
        work === undefined ||
        !needsAdapter ||
        (await this.prepare(call, target, work, since));
      if (isReady) {
        return Result.ok(target);
      }
      unready.add(target.id);
      if (!hasTimeLeft(call, performance.now())) {
        return Result.err(tooLate(MIN_LEFT_MS, this.options.random()));
      }
    }
  }

  private async prepare(
    call: Call,
    target: TargetAnnouncement,
    work: ModelWork,
    since: number,
  ): Promise<boolean> {
    const {adapters, book, events, metrics} = this.options;
    const {head, service, signal} = call;
    const now = performance.now();
    const lost = new AbortController();
    const check = setInterval(
      () => this.endIfLost(target, lost),
      AGENT_CHECK_MS,
    );
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(0, patienceLeftMs(call, since, now) - READING_MS),
      follows: [signal, lost.signal],
    });
    const adapter = adapterName(work.model, work.adapter);
    const details = {target: target.id, adapter};
    events.record('adapter-awaited', details, head.id);
    const endWait = book.awaits(target, work);
    const answer = await adapters.prepare(
      target.address,
      {
        model: work.model,
        adapter: work.adapter,
        version: this.versionFor(work),
        slots: service.engine?.adapterSlots ?? 0,
        target: target.id,
      },
      bounded.signal,
    );
    endWait();
    clearInterval(check);
    bounded.release();
    metrics.adapterWaited(answer.ready, performance.now() - now);
    if (!answer.ready && !signal.aborted) {
      const {reason = ''} = answer;
      const failure = {...details, reason, outcome: 'not-run'};
      events.record('call-attempt-failed', failure, head.id);
    }
    return answer.ready;
  }

  private endIfLost(target: TargetAnnouncement, lost: AbortController): void {
    if (!this.options.isKept(target.address, performance.now())) {
      lost.abort();
    }
  }
}

/** Targets come back within a moment: a start takes about a second, in seconds. */
const NO_TARGET_RETRY_SECONDS = 0.5;
/** Refused callers come back spread over this part of the time, so that they don't meet again. */
const RETRY_SPREAD = 0.5;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 2_000;
const SECOND_MS = 1_000;

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

/** Refuses a call whose answer would begin so many milliseconds after its caller leaves. */
function tooLate(lateMs: number, random: number): Refusal {
  const spread = 1 - RETRY_SPREAD / 2 + RETRY_SPREAD * random;
  const backMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, lateMs));
  return new Refusal(
    'not-run',
    503,
    'too_late',
    'no target could begin an answer before the caller leaves',
    (backMs * spread) / SECOND_MS,
  );
}
