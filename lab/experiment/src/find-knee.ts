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
const PART_SECONDS = 900;
/** By which the mean stall of a queue that is stable differs at most between two parts, in milliseconds. */
const STABLE_GROWTH_MS = 1_000;

/**
 * The highest rate, in requests a second, at which the load queue of a policy
 * does not grow from one part of a calm run to the next, without deadlines:
 * the median growth of the mean stall over the seeds decides.
 */
export function findKnee(
  workload: Workload,
  policy: Policy,
  options: KneeOptions,
): number {
  let {lowest, highest} = options;
  while (highest - lowest > options.precision) {
    const rate = (lowest + highest) / 2;
    if (growth(workload, policy, rate, options.seeds) > STABLE_GROWTH_MS) {
      highest = rate;
    } else {
      lowest = rate;
    }
  }
  return lowest;
}

function growth(
  workload: Workload,
  policy: Policy,
  rate: number,
  seeds: readonly number[],
): number {
  const growths = seeds
    .map(seed => {
      const first = meanStallMs(workload, policy, rate, seed, PART_SECONDS);
      const second = meanStallMs(workload, policy, rate, seed, 2 * PART_SECONDS);
      return second - first;
    })
    .sort((a, b) => a - b);
  return growths[Math.floor(growths.length / 2)];
}

function meanStallMs(
  workload: Workload,
  policy: Policy,
  rate: number,
  seed: number,
  warmUpSeconds: number,
): number {
  const scenario = {name: 'calm', disturbances: []};
  const endless = {
    ...workload,
    deadlineMs: NO_DEADLINE_MS,
    warmUpSeconds,
    measuredSeconds: PART_SECONDS,
  };
  const trace = generateTrace(endless, scenario, rate, seed);
  const figures = runTrace(trace, {workload: endless, scenario, policy, seed});
  return figures.meanStallMs;
}
