#!/usr/bin/env node
import { runProcess } from '@marigoldspur/process-life';
import { AGENT_SETTINGS_SCHEMA } from './agent-settings.js';
import { startAgent } from './start-agent.js';
await runProcess({
    name: 'marigoldspur-agent',
    version: '0.1.0',
    about: 'gives the orders to the target beside it and forwards requests to it',
    schema: AGENT_SETTINGS_SCHEMA,
    start: startAgent,
});
