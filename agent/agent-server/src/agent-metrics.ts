import {Counter, Gauge, Histogram, type Registry} from 'prom-client';

const STALL_BUCKETS_SECONDS = [
  0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40,
];
const FILL_BUCKETS = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];

/** Metrics of an agent. */
export interface AgentMetrics {
  /**
   * Seconds that a request waited for its adapter to load; 0 if it was
   * resident.
   */
  readonly loadStall: Histogram;
  /** Loads by outcome. */
  readonly loads: Counter<'outcome'>;
  /** Share of the target's batch in use while requests are running. */
  readonly batchFill: Histogram;
  /** Attempts by how they ended. */
  readonly attempts: Counter<'end'>;
  /** Events of the target's prefix cache by kind. `missed` events were lost. */
  readonly cacheEvents: Counter<'kind'>;
  /** Prompts that the target's prefix cache holds according to its events. */
  readonly cachedPrefixes: Gauge;
}

/** Creates an agent's metrics in the registry of the process. */
export function createAgentMetrics(registry: Registry): AgentMetrics {
  const registers = [registry];
  return {
    loadStall: new Histogram({
      name: 'marigoldspur_load_stall_seconds',
      help: 'Time that a request waited for its adapter to load',
      buckets: STALL_BUCKETS_SECONDS,
      registers,
    }),
    loads: new Counter({
      name: 'marigoldspur_loads_total',
      help: 'Loads by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    batchFill: new Histogram({
      name: 'marigoldspur_batch_fill_ratio',
      help: 'Share of the batch in use, sampled at each health check with work',
      buckets: FILL_BUCKETS,
      registers,
    }),
    attempts: new Counter({
      name: 'marigoldspur_attempts_total',
      help: 'Attempts by how they ended',
      labelNames: ['end'],
      registers,
    }),
    cacheEvents: new Counter({
      name: 'marigoldspur_cache_events_total',
      help: 'Events of the prefix cache by kind; missed events were lost',
      labelNames: ['kind'],
      registers,
    }),
    cachedPrefixes: new Gauge({
      name: 'marigoldspur_cached_prefixes',
      help: 'Prompts in the prefix cache according to its events',
      registers,
    }),
  };
}
