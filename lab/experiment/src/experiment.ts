import {runBound} from './run-bound.js';
import {runTrace} from './run-trace.js';
import type {Figures} from './figure-recorder.js';
import {generateTrace} from './trace.js';
import type {Policy, Scenario, Workload} from './workload.js';

/** Selects the parts of a workload to run; an omitted field selects everything. */
export interface ExperimentSelection {
  readonly scenarios?: readonly string[];
  readonly policies?: readonly string[];
  /** Multiples of the knee rate. */
  readonly loads?: readonly number[];
  readonly seeds?: readonly number[];
}

/** Median and range of one figure over the seeds. */
export interface FigureStatistics {
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
}

/** Name of a figure in a report. */
export type FigureName = keyof Figures;

/** The figures of one policy in one scenario at one load. */
export interface ExperimentRow {
  readonly scenario: string;
  /** Multiple of the knee rate. */
  readonly load: number;
  readonly policy: string;
  readonly figures: Record<FigureName, FigureStatistics>;
}

/** The results of an experiment. */
export interface ExperimentReport {
  readonly workload: string;
  /** The knee rate of the workload, in requests per second. */
  readonly kneeRate: number;
  readonly seeds: readonly number[];
  readonly rows: readonly ExperimentRow[];
}

/** Policy name under which the bound that `runBound` estimates is reported. */
export const BOUND_POLICY_NAME = 'bound';

/** Runs all selected policies, and the bound if selected, on the same traces in each scenario at each load. */
export function runExperiment(
  workload: Workload,
  selection: ExperimentSelection,
): ExperimentReport {
  const seeds = selection.seeds ?? workload.seeds;
  const loads = selection.loads ?? workload.loads;
  const shouldRunBound =
    selection.policies?.includes(BOUND_POLICY_NAME) ?? true;
  const policies = selectByName(workload.policies, selection.policies);
  const scenarios = selectByName(workload.scenarios, selection.scenarios);
  const rows = scenarios.flatMap(scenario =>
    loads.flatMap(load =>
      runPolicies(workload, scenario, load, policies, seeds, shouldRunBound),
    ),
  );
  return {workload: workload.name, kneeRate: workload.kneeRate, seeds, rows};
}

/** Runs the policies, and the bound if requested, in one scenario at one load. */
function runPolicies(
  workload: Workload,
  scenario: Scenario,
  load: number,
  policies: readonly Policy[],
  seeds: readonly number[],
  shouldRunBound: boolean,
): ExperimentRow[] {
  const rate = load * workload.kneeRate;
  const runs = policies.map((): Figures[] => []);
  const bounds: Figures[] = [];
  for (const seed of seeds) {
    const trace = generateTrace(workload, scenario, rate, seed);
    policies.forEach((policy, index) =>
      runs[index].push(runTrace(trace, {workload, scenario, policy, seed})),
    );
    if (shouldRunBound) {
      const {disturbances} = scenario;
      bounds.push(runBound(trace, {workload, disturbances, seed}));
    }
  }
  const createRow = (policy: string, figures: readonly Figures[]) => ({
    scenario: scenario.name,
    load,
    policy,
    figures: computeAllStatistics(figures),
  });
  const rows = policies.map(({name}, index) => createRow(name, runs[index]));
  return bounds.length === 0
    ? rows
    : [...rows, createRow(BOUND_POLICY_NAME, bounds)];
}

function computeAllStatistics(
  runs: readonly Figures[],
): Record<FigureName, FigureStatistics> {
  const names = Object.keys(runs[0]) as FigureName[];
  return Object.fromEntries(
    names.map(name => [name, computeStatistics(runs.map(run => run[name]))]),
  ) as Record<FigureName, FigureStatistics>;
}

function computeStatistics(values: readonly number[]): FigureStatistics {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = (sorted.length - 1) / 2;
  return {
    median: (sorted[Math.floor(middle)] + sorted[Math.ceil(middle)]) / 2,
    lowest: sorted[0],
    highest: sorted[sorted.length - 1],
  };
}

function selectByName<Item extends {readonly name: string}>(
  items: readonly Item[],
  names: readonly string[] | undefined,
): Item[] {
  return items.filter(item => names === undefined || names.includes(item.name));
}
