import {adapterName} from '@marigoldspur/deployment';
import type {AdapterOrder, EngineState} from './managed-engine.js';

/** A load that the engine accepted. */
interface AcceptedLoad {
  readonly acceptedAt: number;
  /** Version that was loaded before, if any. */
  readonly replacedVersion?: number;
}

/**
 * An accepted load that is not visible in the engine's state after this time
 * has failed.
 */
const LOAD_TIMEOUT_MS = 1_000;
/**
 * A replacement becomes visible only after the running requests on the old
 * version have ended.
 */
const REPLACEMENT_TIMEOUT_MS = 10_000;

/**
 * Orders that the current engine process accepted but that are not visible in
 * its state yet.
 */
export class AcceptedOrders {
  private readonly loads = new Map<string, AcceptedLoad>();
  private readonly unloads = new Set<string>();

  /** Adapters whose load was accepted but is not visible yet. */
  get loading(): ReadonlySet<string> {
    return new Set(this.loads.keys());
  }

  /**
   * Adapters that the engine unloads once their running requests have ended.
   */
  get leaving(): ReadonlySet<string> {
    return this.unloads;
  }

  /**
   * Records an order for an adapter that the engine accepted, or whose result
   * was already in place.
   */
  record(
    order: AdapterOrder,
    isAccepted: boolean,
    before: EngineState | undefined,
    now: number,
  ): void {
    if (order.adapter === undefined) {
      return;
    }
    const name = adapterName(order.model, order.adapter);
    if (order.kind === 'load') {
      const replacedVersion = before?.adapters.get(name);
      this.loads.set(name, {acceptedAt: now, replacedVersion});
    } else if (isAccepted) {
      this.unloads.add(name);
    }
  }

  /**
   * Removes the orders that are visible in the engine's state, or that have
   * failed.
   */
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

  /** Removes all orders after the engine restarted or became unreachable. */
  clear(): void {
    this.loads.clear();
    this.unloads.clear();
  }
}

/** Whether an accepted load is visible in the engine's state, or has failed. */
function isSettled(
  name: string,
  {acceptedAt, replacedVersion}: AcceptedLoad,
  {adapters, loading}: EngineState,
  now: number,
): boolean {
  const timeoutMs =
    replacedVersion === undefined ? LOAD_TIMEOUT_MS : REPLACEMENT_TIMEOUT_MS;
  const hasNewVersion =
    adapters.has(name) && adapters.get(name) !== replacedVersion;
  return loading.has(name) || hasNewVersion || now - acceptedAt > timeoutMs;
}
