import type {
  EngineView,
  Service,
  TargetAnnouncement,
} from '@marigoldspur/deployment';
import type {EngineCandidate} from '@marigoldspur/engine-choice';
import type {ModelWork} from './wire-format.js';
import type {TargetStats} from './target-stats.js';

/** What is known of one engine. */
export interface EngineSnapshot {
  readonly target: TargetAnnouncement;
  readonly record: TargetStats;
  /** Its last known state; undefined where its agent has not told of this start. */
  readonly view: EngineView | undefined;
}

/** What a call asks an engine for. */
export interface EngineRequirements {
  readonly service: Service;
  readonly work: ModelWork;
  /** Name of the adapter, `model/adapter`, or of the model itself. */
  readonly adapter: string;
  /** The oldest version of the adapter that will do; any without it. */
  readonly version?: number;
  /** Time between two slots that become idle where calls use all of them, in milliseconds. */
  readonly slotTurnMs: number;
}

/** What the choice of an engine needs to know of one at time `now`. */
export function toEngineCandidate(
  known: EngineSnapshot,
  wanted: EngineRequirements,
  now: number,
): EngineCandidate {
  const {record, target, view} = known;
  const {adapter, service, slotTurnMs, work} = wanted;
  const queued = record.queuedAdapters(view);
  const slots = service.engine?.adapterSlots ?? 0;
  return {
    name: target.id,
    zone: target.zone,
    adapterState: queued.has(adapter)
      ? 'loading'
      : adapterState(known, wanted, now),
    idleSlots: slots - (view?.takenSlots ?? 0) - queued.size,
    slotReleaseIntervalMs: slotTurnMs,
    cachedTokens: record.promptCache.cachedTokens(adapter, work.parts, now),
    pendingTokens: record.pendingTokens,
    running: Math.max(record.inFlight, view?.running ?? 0),
    waiting: view?.waiting ?? 0,
    batchLimit: service.engine?.batchLimit ?? target.slots,
    tokenMemory: service.engine?.tokenMemory ?? 0,
    memoryUsed: view?.memoryUsed ?? 0,
    failureRate: record.failureRate,
  };
}

function adapterState(
  {record, view}: EngineSnapshot,
  {adapter, version, work}: EngineRequirements,
  now: number,
): EngineCandidate['adapterState'] {
  if (view?.models.includes(work.model) === false) {
    return 'no-model';
  }
  if (work.adapter === undefined) {
    return 'held';
  }
  if (record.isAdapterMissing(adapter, now)) {
    return 'absent';
  }
  const held = view?.adapters.find(([name]) => name === adapter);
  if (held !== undefined && held[1] >= (version ?? 0)) {
    return 'held';
  }
  if (view?.loading.includes(adapter)) {
    return 'loading';
  }
  return record.recentAdapters.has(adapter, version) ? 'recent' : 'absent';
}
