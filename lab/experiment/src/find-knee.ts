import {runTrace} from './run-trace.js';
import {generateTrace} from './trace.js';
import type {Policy, Workload} from './workload.js';

/** Options of the search for the knee rate. */
export interface KneeOptions {
  readonly seeds: readonly number[];
  /** Rates between which the knee is looked for, in requests a second. */
  readonly lowest: number;
  readonly highest: number;
  /** Width of the range at which the search ends, in requests a second. */
  readonly precision: number;
}

const NO_DEADLINE_MS = 100_000_000;
/** Share of its time that a store is busy once its queue grows. */
const SATURATED = 0.98;

/**
 * The highest rate, in requests a second, at which a policy leaves the store
 * some time in a calm run without deadlines: the median over the seeds decides.
 */
export function findKnee(
  workload: Workload,
  policy: Policy,
  options: KneeOptions,
): number {
  let {lowest, highest} = options;
  while (highest - lowest > options.precision) {
    const rate = (lowest + highest) / 2;
    const busy = options.seeds
      .map(seed => storeBusy(workload, policy, rate, seed))
      .sort((a, b) => a - b);
    if (busy[Math.floor(busy.length / 2)] >= SATURATED) {
      highest = rate;
    } else {
      lowest = rate;
    }
  }
  return lowest;
}

/** Share of its time that the store is busy. */
function storeBusy(
  workload: Workload,
  policy: Policy,
  rate: number,
  seed: number,
): number {
  const scenario = {name: 'calm', disturbances: []};
  const patient = {...workload, deadlineMs: NO_DEADLINE_MS};
  const trace = generateTrace(patient, scenario, rate, seed);
  const {loads} = runTrace(trace, {workload: patient, scenario, policy, seed});
  const possible = workload.measuredSeconds * workload.cluster.loadsPerSecond;
  return loads / possible;
}
