#!/usr/bin/env node
import {runProcess} from '@marigoldspur/process-lifecycle';
import {VERSION} from '@marigoldspur/process-settings';
import {CONTROL_SETTINGS_SCHEMA} from './control-settings.js';
import {startControl} from './start-control.js';

await runProcess({
  name: 'marigoldspur-control',
  version: VERSION,
  about: 'manages settings, claims, members and load permits',
  schema: CONTROL_SETTINGS_SCHEMA,
  start: startControl,
});
