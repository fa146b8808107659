#!/usr/bin/env -S node --max-semi-space-size=2 --max-old-space-size=160
import {runProcess} from '@marigoldspur/process-lifecycle';
import {VERSION} from '@marigoldspur/process-settings';
import {AGENT_SETTINGS_SCHEMA} from './agent-settings.js';
import {startAgent} from './start-agent.js';

await runProcess({
  name: 'marigoldspur-agent',
  version: VERSION,
  about: 'sends orders to its target and forwards requests to it',
  schema: AGENT_SETTINGS_SCHEMA,
  start: startAgent,
});
