export {applyEdits} from './apply-edits.js';
export {
  adapterOf,
  own,
  serviceOf,
  settingsAt,
  settingsOf,
  versionOf,
  type AdapterPlace,
  type EffectiveSetting,
} from './resolve.js';
export {
  SettingsState,
  type Decision,
  type SettingsSnapshot,
  type SettingsStateOptions,
} from './settings-state.js';
