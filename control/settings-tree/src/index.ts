export {applyEdits} from './apply-edits.js';
export {
  locateAdapter,
  getOwn,
  findService,
  listEffectiveSettings,
  resolveSettings,
  findVersion,
  type AdapterLocation,
  type EffectiveSetting,
} from './resolve.js';
export {
  SettingsState,
  type ChangeDecision,
  type SettingsSnapshot,
  type SettingsStateOptions,
} from './settings-state.js';
