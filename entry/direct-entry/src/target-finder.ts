import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {FleetView} from '@marigoldspur/fleet-view';
import type {AdapterRequests} from './adapter-requests.js';
import {hasTimeLeft, leftMs, type Call} from './call.js';
import type {ModelWork} from './dialect.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {TargetBook} from './target-book.js';

/** What a target finder works with. */
export interface TargetFinderOptions {
  readonly view: Pick<FleetView, 'versionOf'>;
  readonly book: Pick<TargetBook, 'choose'>;
  readonly adapters: Pick<AdapterRequests, 'prepare'>;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
}

/** Longest wait for an adapter before another engine is asked, in milliseconds. */
const PREPARE_TIMEOUT_MS = 1_500;

/** Finds targets that hold what calls need, and has adapters made ready. */
export class TargetFinder {
  constructor(private readonly options: TargetFinderOptions) {}

  /** The version that has to serve some work: the one that was named last, if any. */
  versionFor(work: ModelWork | undefined): number | undefined {
    return work && this.options.view.versionOf(work.model, work.adapter);
  }

  /** A target that holds what the call needs, none of the excluded ones; undefined where none does in time. */
  async find(
    call: Call,
    excluded: ReadonlySet<string>,
  ): Promise<TargetAnnouncement | undefined> {
    const {head, service} = call;
    const {work} = head;
    const unready = new Set(excluded);
    for (;;) {
      const version = this.versionFor(work);
      const need = {service, work, version, excluded: unready};
      const chosen = this.options.book.choose(need, performance.now());
      if (work === undefined || chosen?.needsAdapter !== true) {
        return chosen?.target;
      }
      const {target} = chosen;
      if (await this.prepare(call, target, work)) {
        return target;
      }
      unready.add(target.id);
      if (!hasTimeLeft(call, performance.now())) {
        return undefined;
      }
    }
  }

  private async prepare(
    call: Call,
    target: TargetAnnouncement,
    work: ModelWork,
  ): Promise<boolean> {
    const {adapters, events, metrics} = this.options;
    const {head, service, signal} = call;
    const now = performance.now();
    const bounded = new BoundedSignal({
      timeoutMs: Math.min(PREPARE_TIMEOUT_MS, leftMs(call, now)),
      follows: [signal],
    });
    const adapter = adapterName(work.model, work.adapter);
    const details = {target: target.id, adapter};
    events.record('adapter-awaited', details, head.id);
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
    bounded.release();
    metrics.adapterWaited(answer.ready, performance.now() - now);
    if (!answer.ready && !signal.aborted) {
      const {reason = ''} = answer;
      const failure = {...details, reason, outcome: 'not-run'};
      events.record('call-attempt-failed', failure, head.id);
    }
    return answer.ready;
  }
}
