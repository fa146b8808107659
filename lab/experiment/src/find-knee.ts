import {runTrace} from './run-trace.js';
import {generateTrace} from './trace.js';
import type {Policy, Workload} from './workload.js';

/** Options of the search for the knee rate. */
export interface KneeOptions {
  readonly seeds: readonly number[];
  /** Range of rates to search, in requests per second. */
  readonly lowest: number;
  readonly highest: number;
  /** Width of the range at which the search ends, in requests per second. */
  readonly precision: number;
}

const NO_DEADLINE_MS = 100_000_000;
/** Utilization at which the store counts as saturated: its load queue grows. */
const SATURATED_UTILIZATION = 0.98;

/**
 * Finds the highest rate, in requests per second, at which a policy does not
 * saturate the store in a calm run without deadlines, by the median over the
 * seeds.
 */
export function findKnee(
  workload: Workload,
  policy: Policy,
  options: KneeOptions,
): number {
  let {lowest, highest} = options;
  while (highest - lowest > options.precision) {
    const rate = (lowest + highest) / 2;
    const utilizations = options.seeds
      .map(seed => measureStoreUtilization(workload, policy, rate, seed))
      .sort((a, b) => a - b);
    if (
      utilizations[Math.floor(utilizations.length / 2)] >= SATURATED_UTILIZATION
    ) {
      highest = rate;
    } else {
      lowest = rate;
    }
  }
  return lowest;
}

/** Measures the fraction of the measured time in which the store loads adapters. */
function measureStoreUtilization(
  workload: Workload,
  policy: Policy,
  rate: number,
  seed: number,
): number {
  const scenario = {name: 'calm', disturbances: []};
  const workloadWithoutDeadline = {...workload, deadlineMs: NO_DEADLINE_MS};
  const trace = generateTrace(workloadWithoutDeadline, scenario, rate, seed);
  const {loads} = runTrace(trace, {
    workload: workloadWithoutDeadline,
    scenario,
    policy,
    seed,
  });
  const maxLoads = workload.measuredSeconds * workload.cluster.loadsPerSecond;
  return loads / maxLoads;
}
