import type {EngineView} from '@marigoldspur/deployment';
import {
  PromptCacheEstimator,
  RecentAdapters,
} from '@marigoldspur/engine-choice';
import {addCount} from './counts.js';

/** Time until an engine's view shows that it lacks an adapter, in milliseconds. */
const MISSING_MS = 400;

/** What this process knows of one start of a target from its own calls. */
export class TargetStats {
  readonly promptCache = new PromptCacheEstimator();
  readonly recentAdapters = new RecentAdapters();
  /** Calls that were sent and have not ended. */
  inFlight = 0;
  /** Prompt tokens of calls that were sent and have not begun. */
  pendingTokens = 0;
  /** Share of the latest answers that failed, 0 to 1. */
  failureRate = 0;
  /** Requests that the target last said to have, and when. */
  reportedLoad = 0;
  reportedAt = -Infinity;
  /** Adapters that the engine was found not to hold, with the time of that. */
  private readonly missing = new Map<string, number>();
  /** Calls of this process that wait for an adapter of the engine. */
  private readonly awaited = new Map<string, number>();

  /** Takes note that the engine does not hold an adapter. */
  recordMissingAdapter(adapter: string, now: number): void {
    this.missing.set(adapter, now);
  }

  /** Whether the engine was just found not to hold an adapter. */
  isAdapterMissing(adapter: string, now: number): boolean {
    return now - (this.missing.get(adapter) ?? -Infinity) < MISSING_MS;
  }

  /** A call waits for an adapter until the returned function is called. */
  startAdapterWait(adapter: string): () => void {
    addCount(this.awaited, adapter, 1);
    return () => addCount(this.awaited, adapter, -1);
  }

  /** Adapters that calls of this or another process wait for and that no slot is known to be given to. */
  queuedAdapters(view: EngineView | undefined): ReadonlySet<string> {
    const given = new Set(view?.loading);
    view?.adapters.forEach(([name]) => given.add(name));
    const queued = [...this.awaited.keys()].filter(name => !given.has(name));
    return new Set([...(view?.awaited ?? []), ...queued]);
  }
}
