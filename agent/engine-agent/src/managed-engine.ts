import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';

/** State of an engine, as read by its agent. */
export interface EngineState {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAt: number;
  /** ID of the engine if it says in its answer that it leaves; absent otherwise. */
  readonly leaving?: string;
  /** Number of orders that the engine has accepted since its start. */
  readonly sequence: number;
  /**
   * Whether the engine is loading or unloading a model. It accepts no other
   * order during this time.
   */
  readonly busy: boolean;
  /** Loaded models. */
  readonly models: ReadonlySet<string>;
  /** Versions of the loaded adapters, by `model/adapter`. */
  readonly adapters: ReadonlyMap<string, number>;
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly loading: ReadonlySet<string>;
  /** Number of requests that produce tokens. */
  readonly running: number;
  /** Number of requests whose prompt has not been processed yet. */
  readonly waiting: number;
  /** Share of the token memory that is in use and cannot be freed, 0 to 1. */
  readonly memoryUsed: number;
}

/** An order to an engine. */
export interface AdapterOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Absent if the order is for the model itself. */
  readonly adapter?: string;
  /** Version to load; the newest one if absent. */
  readonly version?: number;
  /**
   * Number of orders that the engine must have accepted before this one, so
   * that a delayed order has no effect.
   */
  readonly sequence: number;
  /** Fencing number of the agent. */
  readonly fence: number;
  /** ID of the intended engine, if known. */
  readonly target?: string;
}

/**
 * Response of an engine to an order:
 *
 * - `accepted`: the engine executes the order.
 * - `holds`: the requested state is already in place.
 * - `conflict`: the engine's sequence number differs from the one in the order.
 * - `fenced`: the engine has seen a higher fencing number.
 * - `misdirected`: the order is for another engine, or the adapter does not
 *   exist.
 * - `rejected`: the engine does not accept the order.
 */
export type OrderOutcome =
  'accepted' | 'holds' | 'conflict' | 'fenced' | 'misdirected' | 'rejected';

/** An engine that accepts orders to load and unload adapters. */
export interface ManagedEngine {
  /** Reads the state; fails if the engine does not answer. */
  read(): Promise<Result<EngineState, Fault>>;
  /**
   * Sends an order. After a fault it is unknown whether the order is executed.
   */
  sendOrder(order: AdapterOrder): Promise<Result<OrderOutcome, Fault>>;
  /** Closes the connections to the engine. */
  close(): void;
}
