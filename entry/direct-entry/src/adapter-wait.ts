import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {AdapterRequests} from './adapter-requests.js';
import {patienceLeftMs, type Call} from './call.js';
import type {ModelWork} from './dialect.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {TargetBook} from './target-book.js';

/** What waits for adapters work with. */
export interface AdapterWaitOptions {
  readonly book: Pick<TargetBook, 'awaits'>;
  readonly adapters: Pick<AdapterRequests, 'prepare'>;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
  /** Whether the agent beside the engine at an address was just heard of, and reaches it. */
  readonly isKept: (address: string, now: number) => boolean;
}

/** An engine that a call wants to be sent to. */
export interface WantedEngine {
  readonly target: TargetAnnouncement;
  readonly work: ModelWork;
  /** Oldest version of the adapter that will do; any without it. */
  readonly version?: number;
  /** Since when the caller waits for an event, as a `performance.now()` time. */
  readonly since: number;
}

/** Time between two looks at whether the agent that was asked still lives, in milliseconds. */
const AGENT_CHECK_MS = 300;
/** An engine reads a prompt of usual size in this time once it holds the adapter, in milliseconds. */
const READING_MS = 250;

/** Has adapters made ready for calls, for as long as the callers and the agents are there. */
export class AdapterWait {
  constructor(private readonly options: AdapterWaitOptions) {}

  /** Resolves to whether the engine holds the adapter. */
  async run(call: Call, wanted: WantedEngine): Promise<boolean> {
    const {adapters, book, metrics} = this.options;
    const {target, version, work} = wanted;
    const now = performance.now();
    const lost = new AbortController();
    const check = setInterval(
      () => this.endIfLost(target, lost),
      AGENT_CHECK_MS,
    );
    const patienceMs = patienceLeftMs(call, wanted.since, now);
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(0, patienceMs - READING_MS),
      follows: [call.signal, lost.signal],
    });
    const endWait = book.awaits(target, work);
    this.record('adapter-awaited', call, wanted);
    const {ready, reason} = await adapters.prepare(
      target.address,
      {
        model: work.model,
        adapter: work.adapter,
        version,
        slots: call.service.engine?.adapterSlots ?? 0,
        target: target.id,
      },
      bounded.signal,
    );
    endWait();
    clearInterval(check);
    bounded.release();
    metrics.adapterWaited(ready, performance.now() - now);
    if (!ready && !call.signal.aborted) {
      const failure = {reason: reason ?? '', outcome: 'not-run'};
      this.record('call-attempt-failed', call, wanted, failure);
    }
    return ready;
  }

  private endIfLost(target: TargetAnnouncement, lost: AbortController): void {
    if (!this.options.isKept(target.address, performance.now())) {
      lost.abort();
    }
  }

  private record(
    event: 'adapter-awaited' | 'call-attempt-failed',
    {head}: Call,
    {target, work}: WantedEngine,
    details: Record<string, string> = {},
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    const all = {target: target.id, adapter, ...details};
    this.options.events.record(event, all, head.id);
  }
}
