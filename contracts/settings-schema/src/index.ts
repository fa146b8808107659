export {
  formatModel,
  NAME_SCHEMA,
  parseModel,
  type AdapterVersion,
} from './names.js';
export {
  DEFAULT_SETTINGS,
  OVERRIDES_SCHEMA,
  SETTINGS_SCHEMA,
  type Overrides,
  type Settings,
} from './settings.js';
export {
  ADAPTER_SCHEMA,
  CUSTOMER_SCHEMA,
  createEmptyTree,
  SERVICE_SCHEMA,
  SETTINGS_TREE_SCHEMA,
  VERSION_SCHEMA,
  type Adapter,
  type Customer,
  type Service,
  type SettingsTree,
} from './tree.js';
export {
  CHANGE_OUTCOME_SCHEMA,
  CHANGE_SCHEMA,
  EDIT_SCHEMA,
  type Change,
  type ChangeOutcome,
  type Edit,
} from './change.js';
