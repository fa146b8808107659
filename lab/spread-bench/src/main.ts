#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureClaims} from './claims-bench.js';
import {measureFollowers} from './follower-bench.js';
import {measureTree} from './tree-bench.js';

const CLAIMS = 100_000;

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
    options => options,
    () => print(measureClaims(CLAIMS)),
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
