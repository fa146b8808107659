export {renderEventsPage} from './events-page.js';
export {renderSettingsPage} from './settings-page.js';
export {renderReferencePages, type ReferencePage} from './reference-pages.js';
