import {BeladyEviction} from './belady-eviction.js';
import {runTrace} from './run-trace.js';
import type {Figures} from './figure-recorder.js';
import type {Arrival} from './trace.js';
import type {Cluster, Disturbance, Policy, Workload} from './workload.js';

/** Options of an estimate of the bound. */
export interface BoundOptions {
  readonly workload: Workload;
  readonly disturbances: readonly Disturbance[];
  readonly seed: number;
}

const UNLIMITED_BATCH_LIMIT = 1_000_000;
const BOUND_PATIENCES = [1, 0.1];
const ENGINE_FAULTS: ReadonlySet<Disturbance['kind']> = new Set([
  'restart',
  'zone-cut',
]);

/**
 * Estimates a lower bound on the mean stall: simulates one engine that has the
 * slots of all engines, no batch limit, no engine faults and an eviction policy
 * that knows the trace, with the same store. Returns the figures of the patience
 * with the lowest mean stall.
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
  const pooledWorkload = {...workload, cluster: poolEngines(workload.cluster)};
  const createEviction = () => new BeladyEviction(arrivals);
  return createBoundPolicies()
    .map(policy =>
      runTrace(arrivals, {
        workload: pooledWorkload,
        scenario,
        policy,
        seed,
        createEviction,
      }),
    )
    .reduce((best, each) =>
      each.meanStallMs < best.meanStallMs ? each : best,
    );
}

function poolEngines(cluster: Cluster): Cluster {
  return {
    ...cluster,
    engines: 1,
    slots: cluster.slots * cluster.engines,
    batchLimit: UNLIMITED_BATCH_LIMIT,
    tokenMsPerRequest: 0,
  };
}

function createBoundPolicies(): Policy[] {
  return BOUND_PATIENCES.map(patience => ({
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
