#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureTree} from './tree-bench.js';

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
  .demandCommand(1, 'name a command')
  .strict()
  .parseAsync();

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value)}\n`);
}
