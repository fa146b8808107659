import type {Result} from 'true-myth';
import type {Fault} from '@marigoldspur/faults';

/** State of an engine, read beside it. */
export interface EngineState {
  /** When the engine's process started, in milliseconds since the epoch. */
  readonly bornAt: number;
  /** Orders that the engine has taken since its start. */
  readonly sequence: number;
  /** Whether an order to load or drop a model is being carried out; no other one is taken meanwhile. */
  readonly busy: boolean;
  /** Models that it holds. */
  readonly models: ReadonlySet<string>;
  /** Versions of the adapters that it holds, by `model/adapter`. */
  readonly adapters: ReadonlyMap<string, number>;
  /** Adapters that are on their way to it, `model/adapter`. */
  readonly loading: ReadonlySet<string>;
  /** Requests that make events. */
  readonly running: number;
  /** Requests whose prompt is not read yet. */
  readonly waiting: number;
  /** Share of the memory for tokens that can't be freed, 0 to 1. */
  readonly memoryUsed: number;
}

/** An order to an engine. */
export interface AdapterOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  /** Absent where the model itself is meant. */
  readonly adapter?: string;
  /** Version to load; the newest one without it. */
  readonly version?: number;
  /** Orders that the engine must have taken before, so that a late one changes nothing. */
  readonly sequence: number;
  readonly fence: number;
  /** Identity of the engine that is meant, where it is known. */
  readonly target?: string;
}

/**
 * What an engine said to an order: it carries it out, it already holds, the state is
 * another than the order expects, a higher fencing number was seen, another engine or
 * no such adapter is there, or it does not take the order at all.
 */
export type OrderOutcome =
  'accepted' | 'holds' | 'conflict' | 'fenced' | 'misdirected' | 'rejected';

/** An engine that takes orders. */
export interface ManagedEngine {
  read(): Promise<Result<EngineState, Fault>>;
  /** Gives an order; a fault leaves open whether it is carried out. */
  order(order: AdapterOrder): Promise<Result<OrderOutcome, Fault>>;
  close(): void;
}
