export {
  openSession,
  type OperatorSession,
  type SessionOptions,
} from './operator-session.js';
export {formatEvent, mergedTimeline, TimelineReader} from './timeline.js';
export {readTreeFile} from './read-tree-file.js';
export {readSettings, readStaleSettings} from './read-settings.js';
export {submitChange, type SubmitOptions} from './submit-change.js';
export {
  systemStatus,
  type ProcessRow,
  type SystemStatus,
} from './system-status.js';
export {targetRows, type TargetRow} from './target-rows.js';
export {formatTable, type TableRow} from './format-table.js';
export {diffTrees, type TreeDifference} from './diff-trees.js';
export {
  overriddenSettings,
  type OverriddenSetting,
} from './overridden-settings.js';
export {waitInForce, type ForceProgress} from './wait-in-force.js';
export {drainProcess} from './drain-process.js';
