#!/usr/bin/env node
import {runCommand} from './command.js';

await runCommand(process.argv.slice(2));
