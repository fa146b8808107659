#!/usr/bin/env node
import os from 'node:os';
import yargs from 'yargs';
import {measureIdle} from './measure-idle.js';
import {measureLeaderless} from './measure-leaderless.js';
import {measureRecovery} from './measure-recovery.js';
import {measureThroughput} from './measure-throughput.js';

const LOG_LENGTHS = [100, 1_000, 10_000];

await yargs(process.argv.slice(2))
  .scriptName('marigoldspur-log-trials')
  .command(
    'throughput',
    'Measure accepted commands, compared to single synced writes',
    args => args.option('replicas', {type: 'number', default: 3}),
    async args => print(await measureThroughput(args.replicas)),
  )
  .command(
    'leaderless',
    'Measure the time without a leader after kill, freeze, cut and drain',
    args =>
      args
        .option('replicas', {type: 'number', default: 3})
        .option('repeats', {type: 'number', default: 5}),
    async args => print(await measureLeaderless(args.replicas, args.repeats)),
  )
  .command(
    'recovery',
    'Measure the recovery time of a replica by the length of the log',
    args => args.option('lengths', {type: 'array', default: LOG_LENGTHS}),
    async args => print(await measureRecovery(args.lengths.map(Number))),
  )
  .command(
    'idle',
    'Measure bytes, messages, CPU time and memory of idle replicas',
    args => args.option('replicas', {type: 'number', default: 3}),
    async args => print(await measureIdle(args.replicas)),
  )
  .demandCommand(1, 'name a measurement')
  .strict()
  .parseAsync();

/** Prints the load average and then one result per line. */
function print(results: readonly object[]): void {
  const load = os.loadavg().map(value => value.toFixed(1));
  process.stdout.write(`load ${load.join(' ')}, ${os.cpus().length} cores\n`);
  for (const result of results) {
    process.stdout.write(`${JSON.stringify(result)}\n`);
  }
}
