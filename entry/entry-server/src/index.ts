export {ENTRY_SETTINGS_SCHEMA, type EntrySettings} from './entry-settings.js';
export {startEntry} from './start-entry.js';
