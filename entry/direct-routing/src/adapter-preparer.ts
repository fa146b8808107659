import {BoundedSignal} from '@marigoldspur/abort-signals';
import {
  adapterName,
  type EngineView,
  type TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {EventLog} from '@marigoldspur/event-log';
import {modelMemoryOf} from '@marigoldspur/model-memory';
import type {AdapterAgentClient} from './adapter-agent-client.js';
import {remainingPatienceMs, type Call} from './call.js';
import type {ModelWork} from './wire-format.js';
import type {DirectRoutingMetrics} from './direct-routing-metrics.js';
import type {TargetRequirements} from './target-choice.js';
import type {TargetSelector} from './target-selector.js';

/** Options of an adapter preparer. */
export interface AdapterPreparerOptions {
  readonly selector: Pick<TargetSelector, 'isAvailable' | 'startAdapterWait'>;
  readonly agentClient: Pick<AdapterAgentClient, 'prepare'>;
  readonly events: EventLog;
  readonly metrics: DirectRoutingMetrics;
  /**
   * Whether the agent beside the engine at an address has reported recently and
   * reaches the engine.
   */
  readonly isAgentReachable: (address: string, now: number) => boolean;
  /** Returns the last known state of the engine at an address. */
  readonly engineView: (address: string) => EngineView | undefined;
}

/** An engine that a call is to be sent to, and the adapter it needs there. */
export interface AdapterPreparation {
  readonly target: TargetAnnouncement;
  readonly work: ModelWork;
  /** The requirements for which the engine was chosen. */
  readonly requirements: TargetRequirements;
  /**
   * Since when the caller has waited for an event, as a `performance.now()`
   * time.
   */
  readonly waitingSince: number;
}

/**
 * Interval at which the engine and its agent are checked during a wait, in
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 300;
/**
 * Time in which an engine processes a prompt of usual size once it holds the
 * adapter, in milliseconds.
 */
const PROMPT_PROCESSING_MS = 250;

/**
 * Waits for adapters to be loaded. A wait ends early when the caller
 * disconnects, the agent is lost or the engine must not be used any more.
 */
export class AdapterPreparer {
  constructor(private readonly options: AdapterPreparerOptions) {}

  /** Resolves to whether the engine holds the adapter. */
  async prepare(call: Call, preparation: AdapterPreparation): Promise<boolean> {
    const {agentClient, selector, metrics} = this.options;
    const {requirements, target, work} = preparation;
    const startedAt = performance.now();
    const targetLost = new AbortController();
    const checkTimer = setInterval(
      () => this.abortIfLost(preparation, targetLost),
      CHECK_INTERVAL_MS,
    );
    const patienceMs = remainingPatienceMs(
      call,
      preparation.waitingSince,
      startedAt,
    );
    const waitSignal = new BoundedSignal({
      timeoutMs: Math.max(0, patienceMs - PROMPT_PROCESSING_MS),
      parentSignals: [call.signal, targetLost.signal],
    });
    const endWait = selector.startAdapterWait(target, work, startedAt);
    this.record('adapter-awaited', call, preparation);
    const {ready, reason} = await agentClient.prepare(
      target.address,
      {
        model: work.model,
        adapter: work.adapter,
        version: requirements.version,
        slots: call.service.engine?.adapterSlots ?? 0,
        memory: modelMemoryOf(call.service.engine, [
          work.model,
          ...(this.options.engineView(target.address)?.models ?? []),
        ]),
        target: target.id,
      },
      waitSignal.signal,
    );
    endWait(ready ? performance.now() : undefined);
    clearInterval(checkTimer);
    waitSignal.dispose();
    metrics.recordAdapterWait(ready, performance.now() - startedAt);
    if (!ready && !call.signal.aborted) {
      const failure = {reason: reason ?? '', outcome: 'not-run'};
      this.record('call-attempt-failed', call, preparation, failure);
    }
    return ready;
  }

  private abortIfLost(
    {requirements, target}: AdapterPreparation,
    targetLost: AbortController,
  ): void {
    const {isAgentReachable, selector} = this.options;
    const now = performance.now();
    if (
      !isAgentReachable(target.address, now) ||
      !selector.isAvailable(target, requirements, now)
    ) {
      targetLost.abort();
    }
  }

  private record(
    event: 'adapter-awaited' | 'call-attempt-failed',
    {metadata}: Call,
    {target, work}: AdapterPreparation,
    details: Record<string, string> = {},
  ): void {
    const adapter = adapterName(work.model, work.adapter);
    const allDetails = {target: target.id, adapter, ...details};
    this.options.events.record(event, allDetails, metadata.id);
  }
}
