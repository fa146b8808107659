import type {EvictionPolicy} from '@marigoldspur/eviction';
import type {EngineState} from './managed-engine.js';
import type {AdapterUseTracker} from './adapter-use-tracker.js';

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
  readonly requested: readonly RequestedAdapter[];
  readonly uses: Pick<AdapterUseTracker, 'isUsed' | 'usedAt'>;
}

/** The next order to send. */
export type PlannedOrder =
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'load'; readonly requested: RequestedAdapter}
  | {readonly kind: 'unload'; readonly name: string};

/** Maximum number of concurrent adapter loads of one engine. */
const MAX_CONCURRENT_LOADS = 4;

/** Whether a sufficient version of an adapter is loaded in the engine. */
export function isLoaded(
  state: EngineState,
  {adapter, model, name, version}: RequestedAdapter,
): boolean {
  if (adapter === undefined) {
    return state.models.has(model);
  }
  const loaded = state.adapters.get(name);
  return loaded !== undefined && loaded >= (version ?? 0);
}

/**
 * Plans the next order for the adapter that was requested first. Returns
 * undefined while no order is possible. Every adapter that is loaded, being
 * loaded, or possibly loaded by an order with unknown outcome occupies a slot.
 */
export function planOrder(
  input: PlanInput,
  eviction: EvictionPolicy,
  now: number,
): PlannedOrder | undefined {
  const {state, slots, accepted, leaving} = input;
  if (state.busy) {
    return undefined;
  }
  const loading = new Set([...state.loading, ...accepted]);
  if (loading.size >= MAX_CONCURRENT_LOADS) {
    return undefined;
  }
  const next = input.requested
    .filter(adapter => !isLoaded(state, adapter) && !loading.has(adapter.name))
    .sort((a, b) => a.since - b.since)
    .at(0);
  if (next === undefined) {
    return undefined;
  }
  if (!state.models.has(next.model)) {
    return {kind: 'load-model', model: next.model};
  }
  const occupied = new Set([...state.adapters.keys(), ...loading]);
  if (occupied.has(next.name) || occupied.size < slots) {
    return leaving.has(next.name) ? undefined : {kind: 'load', requested: next};
  }
  if (leaving.size > 0) {
    return undefined;
  }
  const victim = eviction.chooseVictim(
    evictableAdapters(input, loading, now),
    now,
  );
  return victim === undefined ? undefined : {kind: 'unload', name: victim};
}

/**
 * Returns the adapters that can be evicted. Adapters with running requests are
 * excluded, because the engine unloads them only after the requests have ended
 * and delays other work in the meantime.
 */
function evictableAdapters(
  input: PlanInput,
  loading: ReadonlySet<string>,
  now: number,
) {
  const requested = new Set(input.requested.map(({name}) => name));
  return [...input.state.adapters.keys()]
    .filter(name => !loading.has(name) && !requested.has(name))
    .filter(name => !input.uses.isUsed(name, now))
    .map(model => ({model, lastUsed: input.uses.usedAt(model)}));
}
