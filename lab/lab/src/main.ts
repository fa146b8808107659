#!/usr/bin/env node
import {runLab} from './lab-command.js';

await runLab(process.argv.slice(2));
