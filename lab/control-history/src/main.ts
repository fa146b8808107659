#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runHistory, type HistoryFault} from './run-history.js';

const flags = await yargs(hideBin(process.argv))
  .scriptName('marigoldspur-control-history')
  .option('replicas', {type: 'number', default: 3})
  .option('operators', {type: 'number', default: 4})
  .option('operations', {type: 'number', default: 40})
  .option('fault', {
    choices: ['none', 'kill', 'freeze', 'cut'] as const,
    default: 'kill' as HistoryFault,
  })
  .option('faults', {type: 'number', default: 6})
  .option('seed', {type: 'number', default: 1})
  .strict()
  .parseAsync();
const {verdict, ...counts} = await runHistory({
  ...flags,
  operationsEach: flags.operations,
});
const {linearizable, exhausted, visited} = verdict;
process.stdout.write(
  `${JSON.stringify({...counts, linearizable, exhausted, visited})}\n`,
);
process.exit(linearizable ? 0 : 1);
