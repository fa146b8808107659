#!/usr/bin/env node
import {runProcess} from '@marigoldspur/process-lifecycle';
import {VERSION} from '@marigoldspur/process-settings';
import {ENTRY_SETTINGS_SCHEMA} from './entry-settings.js';
import {startEntry} from './start-entry.js';

await runProcess({
  name: 'marigoldspur-entry',
  version: VERSION,
  about: 'accepts requests from callers and routes them to targets',
  schema: ENTRY_SETTINGS_SCHEMA,
  start: startEntry,
});
