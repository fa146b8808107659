import type {EngineView} from '@marigoldspur/deployment';
import {
  PromptCacheEstimator,
  RecentAdapters,
} from '@marigoldspur/engine-choice';
import {
  PromisedMemory,
  ReportedLoad,
  TargetModel,
} from '@marigoldspur/expected-cost';
import {ChunkMeter} from '@marigoldspur/http-link';
import {addCount} from './counts.js';

/**
 * Time until an engine's view shows that it lacks an adapter, in milliseconds.
 */
const MISSING_TTL_MS = 400;
/** Weight of the latest response in the moving average of the failure rate. */
const FAILURE_WEIGHT = 0.15;
const NO_ADAPTERS: ReadonlySet<string> = new Set();

/**
 * What this process knows about one incarnation of a target from its own calls.
 */
export class TargetStats {
  /** How fast the target is. */
  readonly model = new TargetModel();
  /** Memory of calls that the engine's reports do not contain yet. */
  readonly promisedMemory = new PromisedMemory();
  /** Tokens of calls that were sent and have not ended. */
  inFlightTokens = 0;
  /** Work of calls that were sent and have not ended, in units of the service's mean call. */
  inFlightWork = 0;
  readonly chunkMeter = new ChunkMeter();
  readonly promptCache = new PromptCacheEstimator();
  readonly recentAdapters = new RecentAdapters();
  /** Number of calls that were sent and have not ended. */
  inFlight = 0;
  /**
   * Prompt tokens of calls that were sent and whose first event has not
   * arrived.
   */
  pendingTokens = 0;
  /** When the target was last reported as far slower than its peers, in milliseconds. */
  slowReportedAt = -Infinity;
  /** Moving average of the share of failed responses, 0 to 1. */
  failureRate = 0;
  /** Number of requests that the target reports as running or waiting. */
  readonly reportedLoad = new ReportedLoad();
  /** Adapters that the engine was found not to hold, with the time. */
  private readonly missingSince = new Map<string, number>();
  /**
   * Number of this process's calls that wait for each adapter of the engine.
   */
  private readonly waitingCalls = new Map<string, number>();

  /** Records that the target responded. */
  recordResponse(hasFailed: boolean): void {
    this.failureRate +=
      FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - this.failureRate);
  }

  /** Records that a response which counted as a success broke off. */
  recordBreak(): void {
    // The head counted as a success, which the full weight makes up for.
    this.failureRate = Math.min(1, this.failureRate + FAILURE_WEIGHT);
  }

  /** Requests at the target: the reported ones if the report is fresh, otherwise this process's own. */
  knownLoad(now: number): number {
    const {inFlight, reportedLoad} = this;
    return reportedLoad.isFresh(now)
      ? reportedLoad.loadAt(inFlight, now)
      : inFlight;
  }

  /** Work of the requests at the target, in units of the service's mean call. */
  workInFront(now: number): number {
    const {inFlight, inFlightWork, reportedLoad} = this;
    const others = reportedLoad.loadAt(inFlight, now) - inFlight;
    return Math.max(0, inFlightWork) + others;
  }

  /** Records that the engine does not hold an adapter. */
  recordMissingAdapter(adapter: string, now: number): void {
    this.missingSince.set(adapter, now);
  }

  /** Whether the engine was recently found not to hold an adapter. */
  isAdapterMissing(adapter: string, now: number): boolean {
    return now - (this.missingSince.get(adapter) ?? -Infinity) < MISSING_TTL_MS;
  }

  /**
   * Records that a call waits for an adapter until the returned function is
   * called.
   */
  startAdapterWait(adapter: string): () => void {
    addCount(this.waitingCalls, adapter, 1);
    return () => addCount(this.waitingCalls, adapter, -1);
  }

  /**
   * Adapters that calls of any process wait for and that are not known to have
   * a slot yet.
   */
  queuedAdapters(view: EngineView | undefined): ReadonlySet<string> {
    if (this.waitingCalls.size === 0 && (view?.awaited.length ?? 0) === 0) {
      return NO_ADAPTERS;
    }
    const withSlot = new Set(view?.loading);
    view?.adapters.forEach(([name]) => withSlot.add(name));
    const queued = [...this.waitingCalls.keys()].filter(
      name => !withSlot.has(name),
    );
    return new Set([...(view?.awaited ?? []), ...queued]);
  }
}
