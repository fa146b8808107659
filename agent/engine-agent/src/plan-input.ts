import type {AdapterUseTracker} from './adapter-use-tracker.js';
import type {EngineMemory} from './engine-memory.js';
import type {EngineState} from './managed-engine.js';

/** An adapter, or the model itself, that calls are waiting for. */
export interface RequestedAdapter {
  readonly model: string;
  /** Absent if the model itself is requested. */
  readonly adapter?: string;
  /** `model/adapter`, or the name of the model. */
  readonly name: string;
  /** Minimum version; any version is sufficient if absent. */
  readonly version?: number;
  /** When it was first requested, in milliseconds. */
  readonly since: number;
}

/** Input for planning the next order. */
export interface PlanInput {
  readonly state: EngineState;
  /** Maximum number of adapters in the engine. */
  readonly slots: number;
  /**
   * Adapters whose load the engine accepted but that are not visible in its
   * state yet.
   */
  readonly accepted: ReadonlySet<string>;
  /**
   * Adapters that the engine unloads once their running requests have ended.
   */
  readonly leaving: ReadonlySet<string>;
  /** Models whose load or unload the engine accepted but that is not visible in its state yet. */
  readonly loadingModels: ReadonlySet<string>;
  readonly leavingModels: ReadonlySet<string>;
  /** Undefined if the deployment states no memory. */
  readonly memory: EngineMemory | undefined;
  readonly requested: readonly RequestedAdapter[];
  readonly uses: Pick<
    AdapterUseTracker,
    'isModelUsed' | 'isUsed' | 'modelUsedAt' | 'usedAt'
  >;
}

/**
 * Returns the adapters that can be evicted. Adapters with running requests are
 * excluded, because the engine unloads them only after the requests have ended
 * and delays other work in the meantime.
 */
export function evictableAdapters(
  input: PlanInput,
  loading: ReadonlySet<string>,
  now: number,
): string[] {
  const requested = new Set(input.requested.map(({name}) => name));
  return [...input.state.adapters.keys()]
    .filter(name => !loading.has(name) && !requested.has(name))
    .filter(name => !input.uses.isUsed(name, now));
}

/** Models of an engine that no call uses or waits for at time `now`, so that they may be unloaded. */
export function unusedModels(
  {accepted, leavingModels, requested, state, uses}: PlanInput,
  now: number,
): string[] {
  const models = [...state.models];
  const isUsed = (model: string) => uses.isModelUsed(model, now);
  if (state.running + state.waiting > 0 && !models.some(isUsed)) {
    // Calls that no entry has reported may use any of the models.
    return [];
  }
  const needed = new Set([
    ...requested.map(({model}) => model),
    ...[...state.loading, ...accepted].map(name => name.split('/')[0]),
  ]);
  return models.filter(
    model => !isUsed(model) && !needed.has(model) && !leavingModels.has(model),
  );
}
