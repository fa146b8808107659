import {BeladyEviction} from './belady-eviction.js';
import {runTrace} from './run-trace.js';
import type {Figures} from './tally.js';
import type {Arrival} from './trace.js';
import type {Cluster, Disturbance, Policy, Workload} from './workload.js';

/** Options of one run of the bound. */
export interface BoundOptions {
  readonly workload: Workload;
  readonly disturbances: readonly Disturbance[];
  readonly seed: number;
}

const UNLIMITED_BATCH = 1_000_000;
const PATIENCES = [1, 0.1];
const ENGINE_FAULTS: ReadonlySet<Disturbance['kind']> = new Set([
  'restart',
  'zone-cut',
]);

/**
 * The figures of one engine with the slots of all, no batch limit and eviction
 * that knows the trace, before the same store and without faults of engines:
 * the best mean stall over several patiences.
 */
export function runBound(
  arrivals: readonly Arrival[],
  options: BoundOptions,
): Figures {
  const {workload, disturbances, seed} = options;
  const scenario = {
    name: 'bound',
    disturbances: disturbances.filter(({kind}) => !ENGINE_FAULTS.has(kind)),
  };
  const pooled = {...workload, cluster: pool(workload.cluster)};
  const eviction = () => new BeladyEviction(arrivals);
  return policies()
    .map(policy =>
      runTrace(arrivals, {workload: pooled, scenario, policy, seed, eviction}),
    )
    .reduce((best, each) =>
      each.meanStallMs < best.meanStallMs ? each : best,
    );
}

function pool(cluster: Cluster): Cluster {
  return {
    ...cluster,
    engines: 1,
    slots: cluster.slots * cluster.engines,
    batchLimit: UNLIMITED_BATCH,
    tokenMsPerRequest: 0,
  };
}

function policies(): Policy[] {
  return PATIENCES.map(patience => ({
    name: 'bound',
    placement: 'least-loaded',
    eviction: 'lru',
    loadOrder: 'least-harm',
    patience,
    overloadAfterMs: 0,
    overloadEndsAfterMs: 0,
    stallWeight: 1,
    prefetch: false,
  }));
}
