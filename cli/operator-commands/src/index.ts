export {
  openSession,
  type OperatorSession,
  type SessionOptions,
} from './operator-session.js';
export {formatEvent, readTimeline, TimelineReader} from './timeline.js';
export {readTreeFile} from './read-tree-file.js';
export {readSettings, readStaleSettings} from './read-settings.js';
export {submitChange, type SubmitOptions} from './submit-change.js';
export {
  readSystemStatus,
  type ProcessRow,
  type SystemStatus,
} from './system-status.js';
export {listTargets, type TargetRow} from './list-targets.js';
export {formatTable, type TableRow} from './format-table.js';
export {diffTrees, type TreeDifference} from './diff-trees.js';
export {
  listOverriddenSettings,
  type OverriddenSetting,
} from './overridden-settings.js';
export {waitUntilInForce, type RolloutProgress} from './wait-until-in-force.js';
export {drainProcess} from './drain-process.js';
