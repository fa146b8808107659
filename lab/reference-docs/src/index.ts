export {eventsPage} from './events-page.js';
export {settingsPage} from './settings-page.js';
export {referencePages, type ReferencePage} from './reference-pages.js';
