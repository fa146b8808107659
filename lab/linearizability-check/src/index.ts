export {
  startControlGroup,
  type ControlGroup,
  type ControlGroupOptions,
} from './control-group.js';
export {
  checkLinearizable,
  type Operation,
  type SequentialModel,
  type Verdict,
} from './linearizability.js';
export {
  SETTINGS_MODEL,
  type SettingsAnswer,
  type SettingsCall,
  type SettingsHistory,
} from './settings-model.js';
export {
  runSpread,
  type SpreadFault,
  type ReplicaFault,
  type SpreadOptions,
  type SpreadReport,
} from './spread-run.js';
export {
  runHistory,
  type HistoryFault,
  type HistoryOptions,
  type HistoryReport,
} from './run-history.js';
export {awaitWholeGroup} from './group-status.js';
