#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureClaims} from './claims-bench.js';
import {measureFollowers} from './follower-bench.js';
import {measureHeartbeats} from './heartbeat-bench.js';
import {measureLoadReports} from './load-report-bench.js';
import {measureRelayedHeartbeats, runZone} from './relay-bench.js';
import {measureTree} from './tree-bench.js';

const MS_PER_SECOND = 1_000;

await yargs(hideBin(process.argv))
  .scriptName('marigoldspur-spread-bench')
  .command(
    'tree',
    'Measure operations on settings trees with 3,000 and 36,000 adapters',
    options => options,
    () => {
      const shapes = [
        {adapters: 3_000, customers: 1},
        {adapters: 36_000, customers: 1},
        {adapters: 36_000, customers: 1_000},
      ];
      shapes.forEach(shape => printJson(measureTree(shape)));
    },
  )
  .command(
    'claims',
    'Measure the memory and time of claims',
    options =>
      options.option('count', {
        type: 'array',
        default: [12_500, 25_000, 50_000],
      }),
    ({count}) => count.forEach(each => printJson(measureClaims(Number(each)))),
  )
  .command(
    'heartbeats',
    'Measure the cost of heartbeats without relays',
    options => options.option('count', {type: 'array', default: [4, 32, 128]}),
    async ({count}) => {
      for (const each of count) {
        printJson(await measureHeartbeats(Number(each)));
      }
    },
  )
  .command(
    'relayed-heartbeats',
    'Measure the cost of relayed heartbeats for the leader; --members is per zone, --busy a share from 0 to 1, --warm-up in seconds',
    options =>
      options
        .option('zones', {type: 'array', default: [1, 6, 18]})
        .option('members', {type: 'number', default: 85})
        .option('busy', {type: 'number', default: 0})
        .option('warm-up', {type: 'number', default: 40}),
    async ({zones, members, busy, warmUp}) => {
      for (const each of zones) {
        const size = {zones: Number(each), membersPerZone: members, busy};
        const warmUpMs = warmUp * MS_PER_SECOND;
        printJson(await measureRelayedHeartbeats({...size, warmUpMs}));
      }
    },
  )
  .command(
    'load-reports',
    'Measure the size and age of load reports that a relay streams',
    options =>
      options
        .option('agents', {type: 'number', default: 67})
        .option('followers', {type: 'array', default: [3, 18, 55]})
        .option('bytes-per-second', {type: 'number', default: 17_000}),
    async ({agents, followers, bytesPerSecond}) => {
      for (const each of followers) {
        const size = {agents, followers: Number(each), bytesPerSecond};
        printJson(await measureLoadReports(size));
      }
      process.exit();
    },
  )
  .command(
    'zone',
    false,
    options =>
      options
        .option('part', {
          choices: ['relay', 'members'] as const,
          demandOption: true,
        })
        .option('zone', {type: 'number', demandOption: true})
        .option('url', {type: 'string', demandOption: true})
        .option('members', {type: 'number', demandOption: true})
        .option('busy', {type: 'number', demandOption: true}),
    ({part, zone, url, members, busy}) =>
      runZone(part, zone, url, {membersPerZone: members, busy}),
  )
  .command(
    'followers',
    'Measure the bytes, CPU time and latency of settings streams',
    options => options.option('count', {type: 'array', default: [4, 32, 128]}),
    async ({count}) => {
      for (const each of count) {
        printJson(await measureFollowers(Number(each)));
      }
    },
  )
  .demandCommand(1, 'name a command')
  .strict()
  .parseAsync();

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
