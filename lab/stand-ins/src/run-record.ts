/** A request that a target ran, recorded for the history checks. */
export interface RunRecord {
  /** Request ID, from the hop header. */
  readonly request: string;
  /** Number of the attempt within the request, from the hop header. */
  readonly attempt: number;
  /** Adapter and version, or the path of the call to a plain service. */
  readonly model: string;
  /** Text of the prompt or request body. */
  readonly input: string;
  /** Start time, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** State of the run; `whole` means that it completed. */
  end: 'running' | 'whole' | 'cancelled' | 'failed';
  /** Boot ID of the engine. */
  readonly boot?: string;
  /** Number of full blocks of the prompt. */
  promptBlocks?: number;
  /** Number of leading blocks of the prompt that were cached when the prefill started. */
  cachedBlocks?: number;
  /** The generated tokens, in order. */
  readonly tokens?: TokenTime[];
}

/** When a token was generated, and in which batch size. */
export interface TokenTime {
  /** In milliseconds since the epoch. */
  readonly at: number;
  /** Number of requests in the batch. */
  readonly batch: number;
}

/** An order that an engine received, recorded for the history checks. */
export interface OrderRecord {
  readonly order: 'load' | 'unload';
  /** Adapter and version. */
  readonly model: string;
  /** Fencing number of the order; 0 if it has none. */
  readonly fence: number;
  /** Boot ID of the engine. */
  readonly boot: string;
  /** Time of arrival, in milliseconds since the epoch. */
  readonly at: number;
  /** Adapters of the requests that were active at that time. */
  readonly inUse: readonly string[];
  /** Whether the order unloaded an adapter that a request was using. */
  readonly evictedInUse: boolean;
  outcome: 'running' | 'done' | 'refused' | 'fenced' | 'failed';
}
