#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureClaims} from './claims-bench.js';
import {measureFollowers} from './follower-bench.js';
import {measureHeartbeats} from './heartbeat-bench.js';
import {measureLoadReports} from './load-report-bench.js';
import {measureRelayed, runZone} from './relay-bench.js';
import {measureTree} from './tree-bench.js';

const MS_PER_SECOND = 1_000;

await yargs(hideBin(process.argv))
  .scriptName('marigoldspur-spread-bench')
  .command(
    'tree',
    'Cost of settings at 3,000 and 36,000 adapters',
    options => options,
    () => {
      const shapes = [
        {adapters: 3_000, customers: 1},
        {adapters: 36_000, customers: 1},
        {adapters: 36_000, customers: 1_000},
      ];
      shapes.forEach(shape => print(measureTree(shape)));
    },
  )
  .command(
    'claims',
    'Memory of claims',
    options =>
      options.option('count', {
        type: 'array',
        default: [12_500, 25_000, 50_000],
      }),
    ({count}) => count.forEach(each => print(measureClaims(Number(each)))),
  )
  .command(
    'heartbeats',
    'Cost of heartbeats',
    options => options.option('count', {type: 'array', default: [4, 32, 128]}),
    async ({count}) => {
      for (const each of count) {
        print(await measureHeartbeats(Number(each)));
      }
    },
  )
  .command(
    'relayed-heartbeats',
    'Cost of heartbeats that relays gather, to the leader',
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
        print(await measureRelayed({...size, warmUpMs}));
      }
    },
  )
  .command(
    'load-reports',
    'Bytes and age of the load reports that a relay streams',
    options =>
      options
        .option('agents', {type: 'number', default: 67})
        .option('followers', {type: 'array', default: [3, 18, 55]})
        .option('bytes-per-second', {type: 'number', default: 17_000}),
    async ({agents, followers, bytesPerSecond}) => {
      for (const each of followers) {
        const size = {agents, followers: Number(each), bytesPerSecond};
        print(await measureLoadReports(size));
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
    'Messages, bytes and processor time of settings streams',
    options => options.option('count', {type: 'array', default: [4, 32, 128]}),
    async ({count}) => {
      for (const each of count) {
        print(await measureFollowers(Number(each)));
      }
    },
  )
  .demandCommand(1, 'name a command')
  .strict()
  .parseAsync();

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
