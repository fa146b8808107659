#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runOperators} from './run-operators.js';
import {
  measurePropagation,
  type ReplicaFaultKind,
} from './measure-propagation.js';

const {argv} = process;
await yargs(hideBin(argv))
  .scriptName('marigoldspur-control-history')
  .command(
    '$0',
    'Run concurrent operators under faults of control and check that their history is linearizable',
    options =>
      options
        .option('replicas', {type: 'number', default: 3})
        .option('operators', {type: 'number', default: 4})
        .option('operations', {type: 'number', default: 40})
        .option('fault', {
          choices: ['none', 'kill', 'freeze', 'cut'] as const,
          default: 'kill' as ReplicaFaultKind,
        })
        .option('faults', {type: 'number', default: 6})
        .option('seed', {type: 'number', default: 1}),
    async flags => {
      const {verdict, ...counts} = await runOperators({
        ...flags,
        operationsEach: flags.operations,
      });
      const {linearizable, exhausted, visited} = verdict;
      printAndExit({...counts, linearizable, exhausted, visited}, linearizable);
    },
  )
  .command(
    'spread',
    'Measure the time until accepted changes are in force everywhere',
    options =>
      options
        .option('fault', {
          choices: ['none', 'kill', 'freeze', 'cut'] as const,
          default: 'cut' as ReplicaFaultKind,
        })
        .option('role', {
          choices: ['leader', 'follower'] as const,
          default: 'leader' as const,
        })
        .option('moment', {
          choices: ['before', 'after'] as const,
          default: 'before' as const,
        })
        .option('second-fault', {
          choices: ['none', 'kill', 'freeze', 'cut'] as const,
          default: 'none' as ReplicaFaultKind,
          describe: 'Fault of another replica after the next change',
        })
        .option('second-role', {
          choices: ['leader', 'follower'] as const,
          default: 'leader' as const,
        })
        .option('replicas', {type: 'number', default: 3})
        .option('changes', {type: 'number', default: 5}),
    async flags => {
      const {fault, role, moment, replicas, changes} = flags;
      const {secondFault, secondRole} = flags;
      const second =
        secondFault === 'none'
          ? undefined
          : {fault: secondFault, role: secondRole};
      const options = {fault, role, moment, second, replicas, changes};
      const report = await measurePropagation(options);
      printAndExit({...options, ...report}, report.violations.length === 0);
    },
  )
  .strict()
  .parseAsync();

function printAndExit(report: unknown, isSuccess: boolean): void {
  process.stdout.write(`${JSON.stringify(report)}\n`);
  process.exit(isSuccess ? 0 : 1);
}
