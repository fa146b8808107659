import {BoundedSignal} from '@marigoldspur/bounded-signal';
import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import type {AdapterAgentClient} from './adapter-agent-client.js';
import {remainingPatienceMs, type Call} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {DirectMetrics} from './direct-metrics.js';
import type {TargetSelector} from './target-selector.js';

/** What waits for adapters work with. */
export interface AdapterPreparerOptions {
  readonly book: Pick<TargetSelector, 'awaits'>;
  readonly adapters: Pick<AdapterAgentClient, 'prepare'>;
  readonly events: EventLog;
  readonly metrics: DirectMetrics;
  /** Whether the agent beside the engine at an address was just heard of, and reaches it. */
  readonly isAgentReachable: (address: string, now: number) => boolean;
}

/** An engine that a call wants to be sent to. */
export interface AdapterPreparation {
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
export class AdapterPreparer {
  constructor(private readonly options: AdapterPreparerOptions) {}

  /** Resolves to whether the engine holds the adapter. */
  async run(call: Call, wanted: AdapterPreparation): Promise<boolean> {
    const {adapters, book, metrics} = this.options;
    const {target, version, work} = wanted;
    const now = performance.now();
    const lost = new AbortController();
    const check = setInterval(
      () => this.endIfLost(target, lost),
      AGENT_CHECK_MS,
    );
    const patienceMs = remainingPatienceMs(call, wanted.since, now);
    const bounded = new BoundedSignal({
      timeoutMs: Math.max(0, patienceMs - READING_MS),
      parentSignals: [call.signal, lost.signal],
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
    bounded.dispose();
    metrics.recordAdapterWait(ready, performance.now() - now);
    if (!ready && !call.signal.aborted) {
      const failure = {reason: reason ?? '', outcome: 'not-run'};
      this.record('call-attempt-failed', call, wanted, failure);
    }
    return ready;
  }

  private endIfLost(target: TargetAnnouncement, lost: AbortController): void {
    if (!this.options.isAgentReachable(target.address, performance.now())) {
      lost.abort();
    }
  }

  private record(
    event: 'adapter-awaited' | 'call-attempt-failed',
    {head}: Call,
    {target, work}: AdapterPreparation,
    details: Record<string, string> = {},
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    const all = {target: target.id, adapter, ...details};
    this.options.events.record(event, all, head.id);
  }
}
