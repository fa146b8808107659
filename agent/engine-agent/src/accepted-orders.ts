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
  /** When loads and unloads of models were accepted, by model. */
  private readonly modelLoads = new Map<string, number>();
  private readonly modelUnloads = new Map<string, number>();

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

  /** Models whose load was accepted but is not visible yet. */
  get loadingModels(): ReadonlySet<string> {
    return new Set(this.modelLoads.keys());
  }

  /** Models whose unload was accepted but is not visible yet. */
  get leavingModels(): ReadonlySet<string> {
    return new Set(this.modelUnloads.keys());
  }

  /**
   * Records an order that the engine accepted, or whose result was already in
   * place.
   */
  record(
    order: AdapterOrder,
    isAccepted: boolean,
    before: EngineState | undefined,
    now: number,
  ): void {
    if (order.adapter === undefined) {
      if (order.kind === 'load') {
        this.modelLoads.set(order.model, now);
      } else if (isAccepted) {
        this.modelUnloads.set(order.model, now);
      }
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
    const hasFailed = (acceptedAt: number) =>
      !state.busy && now - acceptedAt > LOAD_TIMEOUT_MS;
    for (const [model, acceptedAt] of this.modelLoads) {
      if (state.models.has(model) || hasFailed(acceptedAt)) {
        this.modelLoads.delete(model);
      }
    }
    for (const [model, acceptedAt] of this.modelUnloads) {
      if (!state.models.has(model) || hasFailed(acceptedAt)) {
        this.modelUnloads.delete(model);
      }
    }
  }

  /** Removes all orders after the engine restarted or became unreachable. */
  clear(): void {
    this.loads.clear();
    this.unloads.clear();
    this.modelLoads.clear();
    this.modelUnloads.clear();
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
