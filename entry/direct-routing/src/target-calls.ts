import {adapterName, type TargetAnnouncement} from '@marigoldspur/deployment';
import {CallProgress} from '@marigoldspur/expected-cost';
import type {ChunkMeter} from '@marigoldspur/http-link';
import {memoryTokensOf} from './memory-tokens.js';
import type {ServiceStatsRegistry} from './service-stats.js';
import type {RouteRequirements} from './target-choice.js';
import type {TargetEligibility} from './target-eligibility.js';
import type {TargetStats} from './target-stats.js';
import type {TargetStatsRegistry} from './target-stats-registry.js';
import type {ModelWork, ResponseMetadata} from './wire-format.js';

/** Tracks a call that was sent to a target. */
export interface TargetCallTracker {
  /** Counts the chunks of all responses of the target. */
  readonly chunkMeter?: ChunkMeter;
  /** Records that the headers of the response arrived. */
  recordResponse(
    metadata: ResponseMetadata,
    hasFailed: boolean,
    now: number,
  ): void;
  /**
   * Records the first event, which shows that the prompt has been processed.
   */
  recordFirstEvent(): void;
  /** Records that a part of the response arrived at time `now`, from that of the first event on. */
  recordEvent(now: number): void;
  /** Records that the whole of a successful response had arrived at time `now`. */
  recordCompletion(now: number): void;
  /** Records that a successful response broke off although nobody cancelled it. */
  recordBreak(): void;
  /** Records that the call ended at time `now`. */
  end(now: number): void;
}

/** Options of target calls. */
export interface TargetCallsOptions {
  readonly services: ServiceStatsRegistry;
  readonly targetStats: Pick<TargetStatsRegistry, 'snapshotOf' | 'statsOf'>;
  readonly eligibility: Pick<TargetEligibility, 'recordSuccess'>;
  /** Called with the expected and the observed time to the first event of a call, in milliseconds. */
  readonly onFirstEvent?: (
    service: string,
    expectedMs: number,
    observedMs: number,
  ) => void;
  /** Called with a target that takes far longer than its peers, at most once per minute for each. */
  readonly onSlowTarget?: (target: TargetAnnouncement, factor: number) => void;
}

/** A call that is sent to a target. */
interface SentCall {
  readonly target: TargetAnnouncement;
  readonly work: ModelWork | undefined;
  /** The route of the call; undefined if nothing is known about it. */
  readonly route: RouteRequirements | undefined;
}

/** Minimum time between two reports of one slow target, in milliseconds. */
const SLOW_REPORT_INTERVAL_MS = 60_000;

/** Records the calls that are sent to targets, and learns from how they go. */
export class TargetCalls {
  constructor(private readonly options: TargetCallsOptions) {}

  /** Records that a call is sent at time `now`. */
  start(call: SentCall, now: number): TargetCallTracker {
    const {onFirstEvent, services, targetStats} = this.options;
    const {route, target, work} = call;
    const stats = targetStats.statsOf(target);
    const service = services.modelOf(target.service);
    const {expectedMs, progress, promptTokens} = this.startProgress(call, now);
    const ownWork = service.relativeWork(route?.name ?? '', now);
    const memory = work === undefined ? 0 : memoryTokensOf(work);
    let pending = promptTokens;
    let hasEvent = false;
    let hasEnded = false;
    stats.inFlight += 1;
    stats.pendingTokens += pending;
    stats.inFlightWork += ownWork;
    stats.inFlightTokens += memory;
    stats.promisedMemory.promise(memory);
    const recordFirstEvent = () => {
      stats.pendingTokens -= pending;
      pending = 0;
    };
    const recordEvent = (at: number) => {
      recordFirstEvent();
      progress.recordPart(at);
      if (!hasEvent && !hasEnded) {
        hasEvent = true;
        stats.promisedMemory.recordStart(memory, at);
        if (expectedMs > 0) {
          onFirstEvent?.(target.service, expectedMs, at - now);
        }
      }
    };
    return {
      chunkMeter: stats.chunkMeter,
      recordResponse: (metadata, hasFailed, at) => {
        this.recordResponse(target, metadata, hasFailed, at);
      },
      recordFirstEvent,
      recordEvent,
      recordCompletion: at => {
        services.slotReleases.recordCall(target.service, at - now);
        progress.recordCompletion(at);
        this.reportSlowTarget(target, stats, at);
      },
      recordBreak: () => stats.recordBreak(),
      end: () => {
        hasEnded = true;
        recordFirstEvent();
        stats.inFlight -= 1;
        stats.inFlightWork -= ownWork;
        stats.inFlightTokens -= memory;
        if (!hasEvent) {
          stats.promisedMemory.withdraw(memory);
        }
      },
    };
  }

  /** Starts to follow a call that is sent at time `now`, and estimates when its first event comes. */
  private startProgress(
    {route, target, work}: SentCall,
    now: number,
  ): {promptTokens: number; progress: CallProgress; expectedMs: number} {
    const {services, targetStats} = this.options;
    const {stats, view} = targetStats.snapshotOf(target);
    const service = services.modelOf(target.service);
    const {meanPromptTokens} = service.costs(now);
    const queuedTokens = Math.max(
      stats.pendingTokens,
      (view?.waiting ?? 0) * meanPromptTokens,
    );
    const running = Math.max(stats.inFlight, view?.running ?? 0);
    const promptTokens =
      work === undefined ? 0 : recordPrompt(stats, work, now);
    if (work !== undefined) {
      service.recordPrompt(promptTokens);
    }
    const isStream = work !== undefined && route?.streaming === true;
    const progress = new CallProgress({
      service,
      target: stats.model,
      route: route?.name ?? '',
      sentAt: now,
      isStream,
      isPlain: work === undefined,
      promptTokens,
      isFirstInQueue: queuedTokens === 0,
      running: running + 1,
      workInFront: stats.workInFront(now) / target.slots,
    });
    const expectedMs = isStream
      ? service.expectedFirstEventMs(
          stats.model,
          {promptTokens: queuedTokens + promptTokens, running},
          now,
        )
      : 0;
    return {promptTokens, progress, expectedMs};
  }

  private recordResponse(
    target: TargetAnnouncement,
    metadata: ResponseMetadata,
    hasFailed: boolean,
    now: number,
  ): void {
    const {eligibility, services, targetStats} = this.options;
    const stats = targetStats.statsOf(target);
    eligibility.recordSuccess(target);
    stats.recordResponse(hasFailed);
    // A process that took over the address states its own load.
    const isOwn =
      metadata.target === undefined || metadata.target === target.id;
    if (isOwn && metadata.load !== undefined) {
      const {pace, running, waiting} = metadata.load;
      const requests = {own: stats.inFlight, slots: target.slots};
      stats.reportedLoad.record(running + waiting, requests, now);
      if (pace !== undefined) {
        services.statsOf(target.service).hasStatedPace = true;
        stats.model.pace.record(pace, now);
      }
    }
  }

  private reportSlowTarget(
    target: TargetAnnouncement,
    stats: TargetStats,
    now: number,
  ): void {
    const {onSlowTarget, services} = this.options;
    const service = services.modelOf(target.service);
    if (
      onSlowTarget !== undefined &&
      now - stats.slowReportedAt >= SLOW_REPORT_INTERVAL_MS &&
      service.isSlow(stats.model, now)
    ) {
      stats.slowReportedAt = now;
      onSlowTarget(target, service.slownessOf(stats.model));
    }
  }
}

/** Records a prompt that is sent to an engine; returns its tokens that were not cached before. */
function recordPrompt(
  {promptCache}: TargetStats,
  work: ModelWork,
  now: number,
): number {
  const adapter = adapterName(work.model, work.adapter);
  const cached = promptCache.cachedTokens(adapter, work.parts, now);
  promptCache.recordPrompt(adapter, work.parts, now);
  return Math.max(0, work.promptTokens - cached);
}
