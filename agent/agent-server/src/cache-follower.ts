import {setTimeout as pause} from 'node:timers/promises';
import type {EventLog} from '@marigoldspur/event-log';
import type {CacheEvent, EngineClient} from '@marigoldspur/engine-client';
import type {AgentMetrics} from './agent-metrics.js';
import type {CachedPrefixes} from './cached-prefixes.js';

/** Options of a cache follower. */
export interface CacheFollowerOptions {
  readonly engine: Pick<EngineClient, 'followCacheEvents'>;
  readonly prefixes: CachedPrefixes;
  /** Whether the events are currently used. */
  readonly isWanted: () => boolean;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
}

const RETRY_DELAY_MS = 1_000;
/** Retry delay if the engine does not provide cache events. */
const UNSUPPORTED_RETRY_DELAY_MS = 30_000;

/** Follows the events of an engine's prefix cache while they are used. */
export class CacheFollower {
  private readonly stopController = new AbortController();

  constructor(private readonly options: CacheFollowerOptions) {}

  /** Starts following the events until `stop` is called. */
  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopController.abort();
  }

  private async run(): Promise<void> {
    const {signal} = this.stopController;
    while (!signal.aborted) {
      const waitMs = await this.follow();
      await pause(waitMs, undefined, {signal, ref: false}).catch(() => {});
    }
  }

  /**
   * Follows the events until the stream ends and returns the delay before the
   * next attempt, in milliseconds.
   */
  private async follow(): Promise<number> {
    const {engine, isWanted} = this.options;
    if (!isWanted()) {
      return RETRY_DELAY_MS;
    }
    const fault = await engine.followCacheEvents({
      signal: this.stopController.signal,
      onEvent: event => this.handleEvent(event),
    });
    return fault.code === 'NOT_FOUND'
      ? UNSUPPORTED_RETRY_DELAY_MS
      : RETRY_DELAY_MS;
  }

  private handleEvent(event: CacheEvent): void {
    const {events, metrics, prefixes} = this.options;
    const now = performance.now();
    const {resetReason, missed} = prefixes.applyEvent(event, now);
    metrics.cacheEvents.inc({kind: event.kind});
    metrics.cachedPrefixes.set(prefixes.size(now));
    if (missed > 0) {
      metrics.cacheEvents.inc({kind: 'missed'}, missed);
      events.record('cache-events-missed', {missed});
    }
    if (resetReason !== undefined) {
      events.record('cached-prefixes-forgotten', {reason: resetReason});
    }
  }
}
