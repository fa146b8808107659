export {findKnee, type KneeOptions} from './find-knee.js';
export {generateTrace, type Arrival} from './trace.js';
export {runTrace, type RunOptions} from './run-trace.js';
export type {Figures} from './figure-recorder.js';
export {
  readWorkload,
  type Disturbance,
  type Policy,
  type Scenario,
  type Workload,
} from './workload.js';
export {
  runExperiment,
  type ExperimentReport,
  type ExperimentRow,
  type ExperimentSelection,
} from './experiment.js';
export {formatReport} from './report-table.js';
export {
  runExperimentCommand,
  type ExperimentCommandOptions,
} from './experiment-command.js';
export {compareReports, type FigureDifference} from './compare-reports.js';
export {renderReportPage} from './report-page.js';
export {RandomSource} from './random-source.js';
export {runBound} from './run-bound.js';
export {
  measureDecisions,
  measureEstimatorMemory,
  type DecisionCost,
  type EstimatorMemory,
} from './measure-costs.js';
