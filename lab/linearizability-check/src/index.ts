export {
  startLinkedControlGroup,
  type LinkedControlGroup,
  type LinkedControlGroupOptions,
} from './linked-control-group.js';
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
  type SettingsModelState,
} from './settings-model.js';
export {
  measurePropagation,
  type ReplicaFaultKind,
  type ReplicaFault,
  type PropagationOptions,
  type PropagationReport,
} from './measure-propagation.js';
export {
  runOperators,
  type OperatorRunOptions,
  type OperatorRunReport,
} from './run-operators.js';
export {waitUntilAllReplicasAreVoters} from './group-status.js';
