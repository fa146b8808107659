import type {EvictionPolicy} from '@marigoldspur/eviction';
import type {EngineState} from './managed-engine.js';
import {
  evictableAdapters,
  type PlanInput,
  type RequestedAdapter,
} from './plan-input.js';
import {planRoom} from './room-plan.js';

/** The next order to send. */
export type PlannedOrder =
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'load'; readonly requested: RequestedAdapter}
  | {readonly kind: 'unload'; readonly name: string}
  | {readonly kind: 'unload-model'; readonly model: string};

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
 * loaded, or possibly loaded by an order with unknown outcome occupies a slot and memory.
 */
export function planOrder(
  input: PlanInput,
  eviction: EvictionPolicy,
  now: number,
): PlannedOrder | undefined {
  const {state, slots, accepted, leaving, loadingModels, leavingModels} = input;
  if (state.busy || loadingModels.size > 0 || leavingModels.size > 0) {
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
  const room = planRoom(input, next, now);
  if (room.kind === 'unload-adapter') {
    return planEviction(input, loading, eviction, now);
  }
  if (room.kind === 'unload-model') {
    return room;
  }
  if (room.kind !== 'free') {
    return undefined;
  }
  if (!state.models.has(next.model)) {
    return {kind: 'load-model', model: next.model};
  }
  const occupied = new Set([...state.adapters.keys(), ...loading]);
  if (occupied.has(next.name) || occupied.size < slots) {
    return leaving.has(next.name) ? undefined : {kind: 'load', requested: next};
  }
  return planEviction(input, loading, eviction, now);
}

/** Plans the unload of an adapter; returns undefined while another one is being unloaded. */
function planEviction(
  input: PlanInput,
  loading: ReadonlySet<string>,
  eviction: EvictionPolicy,
  now: number,
): PlannedOrder | undefined {
  if (input.leaving.size > 0) {
    return undefined;
  }
  const victims = evictableAdapters(input, loading, now).map(model => ({
    model,
    lastUsed: input.uses.usedAt(model),
  }));
  const victim = eviction.chooseVictim(victims, now);
  return victim === undefined ? undefined : {kind: 'unload', name: victim};
}
