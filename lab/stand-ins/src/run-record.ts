/** What a target really ran, for the checks of histories. */
export interface RunRecord {
  /** Request identity, from the hop header. */
  readonly request: string;
  readonly attempt: number;
  /** Adapter and version that ran, or the path of a plain service. */
  readonly model: string;
  /** Text of the prompt or body that ran. */
  readonly input: string;
  /** When it began, in milliseconds since the epoch. */
  readonly startedAt: number;
  /** How it ended. */
  end: 'running' | 'whole' | 'cancelled' | 'failed';
  /** Boot identity of the engine that ran it. */
  readonly boot?: string;
  /** Whole blocks of its prompt, and how many of them were cached when it began. */
  promptBlocks?: number;
  cachedBlocks?: number;
  /** For each token, when it was made, in milliseconds since the epoch, and how many requests the batch held. */
  readonly tokens?: TokenTime[];
}

/** When a token was made and in what company. */
export interface TokenTime {
  readonly at: number;
  readonly batch: number;
}

/** An order that an engine took, for the checks of histories. */
export interface OrderRecord {
  readonly order: 'load' | 'unload';
  readonly model: string;
  readonly fence: number;
  readonly boot: string;
  /** When it arrived, in milliseconds since the epoch. */
  readonly at: number;
  /** Adapters of the requests that ran then. */
  readonly inUse: readonly string[];
  /** Whether it took away an adapter that a request used. */
  readonly evictedInUse: boolean;
  outcome: 'running' | 'done' | 'refused' | 'fenced' | 'failed';
}
