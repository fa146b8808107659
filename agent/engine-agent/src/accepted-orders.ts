import {adapterName} from '@marigoldspur/deployment';
import type {AdapterOrder, EngineState} from './managed-engine.js';

/** A load that the engine took. */
interface OrderedLoad {
  readonly at: number;
  /** Version that the engine held before, if any. */
  readonly replaced?: number;
}

/** An accepted load that the engine does not show after this time has failed, in milliseconds. */
const ORDERED_VALID_MS = 1_000;
/** A replacement is not shown before the runs on the old version have ended, in milliseconds. */
const REPLACING_VALID_MS = 10_000;

/** Orders that one start of an engine took and does not show yet. */
export class AcceptedOrders {
  private readonly loads = new Map<string, OrderedLoad>();
  private readonly unloads = new Set<string>();

  /** Adapters whose load the engine took but does not show yet. */
  get loading(): ReadonlySet<string> {
    return new Set(this.loads.keys());
  }

  /** Adapters that the engine drops once their runs have ended. */
  get leaving(): ReadonlySet<string> {
    return this.unloads;
  }

  /** Takes note of an adapter's order that the engine took, or whose outcome it held already. */
  record(
    order: AdapterOrder,
    accepted: boolean,
    before: EngineState | undefined,
    now: number,
  ): void {
    if (order.adapter === undefined) {
      return;
    }
    const name = adapterName(order.model, order.adapter);
    if (order.kind === 'load') {
      const replaced = before?.adapters.get(name);
      this.loads.set(name, {at: now, replaced});
    } else if (accepted) {
      this.unloads.add(name);
    }
  }

  /** Drops the orders that the engine shows, or never will. */
  removeSettled(state: EngineState, now: number): void {
    for (const [name, load] of this.loads) {
      if (isSettled(name, load, state, now)) {
        this.loads.delete(name);
      }
    }
    for (const name of this.unloads) {
      if (!state.adapters.has(name)) {
        this.unloads.delete(name);
      }
    }
  }

  /** Forgets everything: the engine began anew, or can't be reached. */
  clear(): void {
    this.loads.clear();
    this.unloads.clear();
  }
}

/** Whether an engine shows a load that it took, or never will. */
function isSettled(
  name: string,
  {at, replaced}: OrderedLoad,
  {adapters, loading}: EngineState,
  now: number,
): boolean {
  const validMs =
    replaced === undefined ? ORDERED_VALID_MS : REPLACING_VALID_MS;
  const isHeldAnew = adapters.has(name) && adapters.get(name) !== replaced;
  return loading.has(name) || isHeldAnew || now - at > validMs;
}
