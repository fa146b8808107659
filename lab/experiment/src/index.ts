export {findKnee, type KneeOptions} from './find-knee.js';
export {generateTrace, type Arrival} from './trace.js';
export {runTrace, type RunOptions} from './run-trace.js';
export type {Figures} from './tally.js';
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
