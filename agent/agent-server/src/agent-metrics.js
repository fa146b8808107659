import { Counter, Histogram } from 'prom-client';
const STALL_BUCKETS_SECONDS = [
    0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20, 40,
];
const FILL_BUCKETS = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];
/** Creates an agent's metrics in the registry of the process. */
export function agentMetrics(registry) {
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
    };
}
