import type {
  EngineView,
  Service,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {EngineCandidate} from '@marigoldspur/engine-choice';
import type {ModelWork} from './wire-format.js';
import type {TargetStats} from './target-stats.js';

/** What is known about one engine. */
export interface EngineSnapshot {
  readonly target: TargetAnnouncement;
  readonly stats: TargetStats;
  /**
   * Its last known state; undefined if its agent has not reported since the
   * engine's last start.
   */
  readonly view: EngineView | undefined;
}

/** What a call requires of an engine. */
export interface EngineRequirements {
  readonly service: Service;
  readonly work: ModelWork;
  /** Name of the adapter, `model/adapter`, or of the base model. */
  readonly adapter: string;
  /** Oldest acceptable version of the adapter; any version if undefined. */
  readonly version?: number;
  /**
   * Expected time between two slots becoming idle when calls use all of them,
   * in milliseconds.
   */
  readonly slotReleaseIntervalMs: number;
}

/**
 * Builds the candidate that represents an engine in the ranking at time `now`.
 */
export function toEngineCandidate(
  engine: EngineSnapshot,
  requirements: EngineRequirements,
  now: number,
): EngineCandidate {
  const {stats, target, view} = engine;
  const {adapter, service, slotReleaseIntervalMs, work} = requirements;
  const queued = stats.queuedAdapters(view);
  const slots = service.engine?.adapterSlots ?? 0;
  return {
    name: target.id,
    zone: target.zone,
    adapterState: queued.has(adapter)
      ? 'loading'
      : adapterState(engine, requirements, now),
    idleSlots: slots - (view?.takenSlots ?? 0) - queued.size,
    slotReleaseIntervalMs,
    cachedTokens: stats.promptCache.cachedTokens(adapter, work.parts, now),
    pendingTokens: stats.pendingTokens,
    running: Math.max(stats.inFlight, view?.running ?? 0),
    waiting: view?.waiting ?? 0,
    batchLimit: service.engine?.batchLimit ?? target.slots,
    tokenMemory: service.engine?.tokenMemory ?? 0,
    memoryUsed: view?.memoryUsed ?? 0,
    promisedTokens:
      view === undefined
        ? stats.inFlightTokens
        : stats.promisedMemory.tokensAt(now),
    failureRate: stats.failureRate,
    prefillFactor: stats.model.prefill.factor,
    decodeFactor: stats.model.decode.factor,
    pace: stats.model.pace.at(now),
  };
}

function adapterState(
  {stats, view}: EngineSnapshot,
  {adapter, version, work}: EngineRequirements,
  now: number,
): EngineCandidate['adapterState'] {
  if (view?.models.includes(work.model) === false) {
    return 'no-model';
  }
  if (work.adapter === undefined) {
    return 'held';
  }
  if (stats.isAdapterMissing(adapter, now)) {
    return 'absent';
  }
  const held = view?.adapters.find(([name]) => name === adapter);
  if (held !== undefined && held[1] >= (version ?? 0)) {
    return 'held';
  }
  if (view?.loading.includes(adapter)) {
    return 'loading';
  }
  return stats.recentAdapters.has(adapter, version) ? 'recent' : 'absent';
}
