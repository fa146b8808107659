import {eventsPage} from './events-page.js';
import {settingsPage} from './settings-page.js';

/** A page that is written from the code. */
export interface ReferencePage {
  /** Path below the root of the workspace. */
  readonly file: string;
  readonly text: string;
}

/** All pages that are written from the code. */
export function referencePages(): ReferencePage[] {
  return [
    {file: 'docs/EVENTS.md', text: eventsPage()},
    {file: 'docs/SETTINGS.md', text: settingsPage()},
  ];
}
