import {renderEventsPage} from './events-page.js';
import {renderSettingsPage} from './settings-page.js';

/** A documentation page that is generated from the code. */
export interface ReferencePage {
  /** Path relative to the root of the workspace. */
  readonly file: string;
  readonly text: string;
}

/** Renders all pages that are generated from the code. */
export function renderReferencePages(): ReferencePage[] {
  return [
    {file: 'docs/EVENTS.md', text: renderEventsPage()},
    {file: 'docs/SETTINGS.md', text: renderSettingsPage()},
  ];
}
