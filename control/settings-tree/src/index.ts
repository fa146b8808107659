export {applyEdits} from './apply-edits.js';
export {
  adapterOf,
  serviceOf,
  settingsAt,
  settingsOf,
  type AdapterPlace,
  type EffectiveSetting,
} from './resolve.js';
export {SettingsState, type SettingsSnapshot} from './settings-state.js';
