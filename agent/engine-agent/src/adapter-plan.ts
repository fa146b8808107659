import type {EvictionPolicy} from '@marigoldspur/eviction';
import type {EngineState} from './managed-engine.js';
import type {AdapterUseTracker} from './adapter-use-tracker.js';

/** An adapter, or a model itself, that calls wait for. */
export interface RequestedAdapter {
  readonly model: string;
  /** Absent where the model itself is meant. */
  readonly adapter?: string;
  /** Name, `model/adapter` or that of the model. */
  readonly name: string;
  /** Oldest version that will do; any without it. */
  readonly version?: number;
  /** When it was first asked for, in milliseconds. */
  readonly since: number;
}

/** What the next order is decided by. */
export interface PlanInput {
  readonly state: EngineState;
  /** Adapters that the engine has room for. */
  readonly slots: number;
  /** Adapters whose load the engine took but does not show yet. */
  readonly ordered: ReadonlySet<string>;
  /** Adapters that the engine drops once their runs have ended. */
  readonly leaving: ReadonlySet<string>;
  readonly wanted: readonly RequestedAdapter[];
  readonly uses: Pick<AdapterUseTracker, 'isUsed' | 'usedAt'>;
}

/** The next order to give. */
export type PlannedOrder =
  | {readonly kind: 'load-model'; readonly model: string}
  | {readonly kind: 'load'; readonly wanted: RequestedAdapter}
  | {readonly kind: 'unload'; readonly name: string};

/** Adapters that may be on their way to one engine at the same time. */
const MAX_LOADING = 4;

/** Whether the engine holds an adapter in a version that will do. */
export function isHeld(
  state: EngineState,
  {adapter, model, name, version}: RequestedAdapter,
): boolean {
  if (adapter === undefined) {
    return state.models.has(model);
  }
  const held = state.adapters.get(name);
  return held !== undefined && held >= (version ?? 0);
}

/**
 * The order that brings the adapter that was asked for first closer; undefined while
 * nothing can be done. Each adapter that is held, on its way, or may be so by an order
 * whose outcome is open takes a slot.
 */
export function planOrder(
  view: PlanInput,
  eviction: EvictionPolicy,
  now: number,
): PlannedOrder | undefined {
  const {state, slots, ordered, leaving} = view;
  if (state.busy) {
    return undefined;
  }
  const underWay = new Set([...state.loading, ...ordered]);
  if (underWay.size >= MAX_LOADING) {
    return undefined;
  }
  const due = view.wanted
    .filter(wanted => !isHeld(state, wanted) && !underWay.has(wanted.name))
    .sort((a, b) => a.since - b.since)
    .at(0);
  if (due === undefined) {
    return undefined;
  }
  if (!state.models.has(due.model)) {
    return {kind: 'load-model', model: due.model};
  }
  const taken = new Set([...state.adapters.keys(), ...underWay]);
  if (taken.has(due.name) || taken.size < slots) {
    return leaving.has(due.name) ? undefined : {kind: 'load', wanted: due};
  }
  if (leaving.size > 0) {
    return undefined;
  }
  const victim = eviction.chooseVictim(evictable(view, underWay, now), now);
  return victim === undefined ? undefined : {kind: 'unload', name: victim};
}

/** The adapters that may leave: an engine drops one with runs only after these, and holds up others meanwhile. */
function evictable(
  view: PlanInput,
  underWay: ReadonlySet<string>,
  now: number,
) {
  const wanted = new Set(view.wanted.map(({name}) => name));
  return [...view.state.adapters.keys()]
    .filter(name => !underWay.has(name) && !wanted.has(name))
    .filter(name => !view.uses.isUsed(name, now))
    .map(model => ({model, lastUsed: view.uses.usedAt(model)}));
}
