import {setTimeout as pause} from 'node:timers/promises';
import type {EventLog} from '@marigoldspur/event-log';
import type {CacheEvent, EngineClient} from '@marigoldspur/target-client';
import type {AgentMetrics} from './agent-metrics.js';
import type {CachedPrefixes} from './cached-prefixes.js';

/** What a cache follower works with. */
export interface CacheFollowerOptions {
  readonly engine: Pick<EngineClient, 'followCache'>;
  readonly prefixes: CachedPrefixes;
  /** Whether anybody uses what the events tell. */
  readonly wanted: () => boolean;
  readonly events: EventLog;
  readonly metrics: AgentMetrics;
}

const RETRY_MS = 1_000;
const RETRY_UNKNOWN_MS = 30_000;

/** Follows the events of an engine's prefix cache for as long as they are wanted. */
export class CacheFollower {
  private readonly stopped = new AbortController();

  constructor(private readonly options: CacheFollowerOptions) {}

  start(): void {
    void this.run();
  }

  stop(): void {
    this.stopped.abort();
  }

  private async run(): Promise<void> {
    const {signal} = this.stopped;
    while (!signal.aborted) {
      const waitMs = await this.follow();
      await pause(waitMs, undefined, {signal, ref: false}).catch(() => {});
    }
  }

  /** Follows until the stream ends; gives the time until the next try, in milliseconds. */
  private async follow(): Promise<number> {
    const {engine, wanted} = this.options;
    if (!wanted()) {
      return RETRY_MS;
    }
    const fault = await engine.followCache({
      signal: this.stopped.signal,
      onEvent: event => this.take(event),
    });
    return fault.code === 'NOT_FOUND' ? RETRY_UNKNOWN_MS : RETRY_MS;
  }

  private take(event: CacheEvent): void {
    const {events, metrics, prefixes} = this.options;
    const now = performance.now();
    const {forgotten, missed} = prefixes.applyEvent(event, now);
    metrics.cacheEvents.inc({kind: event.kind});
    metrics.cachedPrefixes.set(prefixes.size(now));
    if (missed > 0) {
      metrics.cacheEvents.inc({kind: 'missed'}, missed);
      events.record('cache-events-missed', {missed});
    }
    if (forgotten !== undefined) {
      events.record('cached-prefixes-forgotten', {reason: forgotten});
    }
  }
}
