import {writeFile} from 'node:fs/promises';
import {loadavg} from 'node:os';
import yargs from 'yargs';
import {formatHistory} from '@marigoldspur/history';
import {formatTable} from '@marigoldspur/operator-commands';
import {FAULT_KINDS, pickKinds, type FaultKind} from './fault-plan.js';
import {Random} from './random.js';
import {runFaults, type FaultRunOptions} from './run-faults.js';

interface LoadFlags {
  readonly rate: number;
  readonly seconds: number;
  readonly concurrency?: number;
  readonly cutSeconds?: number;
  readonly resumeMs?: number;
}

const MAX_SEED = 1_000_000;
const MEASURED: ReadonlyArray<readonly FaultKind[]> = [
  [],
  ['kill-entry'],
  ['kill-agent'],
  ['kill-target'],
  ['freeze-agent'],
  ['freeze-target'],
  ['restart-engine'],
  ['kill-control'],
  ['kill-leader'],
  ['freeze-leader'],
  ['cut-leader'],
  ['freeze-zone'],
  ['cut-zone'],
];

/** Runs one command of the fault runs. */
export async function runCommand(args: readonly string[]): Promise<void> {
  const load = {
    rate: {type: 'number', default: 30, describe: 'Requests a second'},
    seconds: {type: 'number', default: 8, describe: 'Time of the load'},
    concurrency: {
      type: 'number',
      describe: 'Requests that run at once at one entry',
    },
    'cut-seconds': {type: 'number', describe: 'How long links stay cut'},
    'resume-ms': {
      type: 'number',
      describe: 'How long engines keep a broken stream',
    },
  } as const;
  await yargs([...args])
    .scriptName('marigoldspur-fault-runs')
    .command(
      'run',
      'One run with the given faults',
      options =>
        options
          .option('seed', {type: 'number', default: 1})
          .option('faults', {
            type: 'array',
            choices: FAULT_KINDS,
            default: [] as FaultKind[],
          })
          .option('history', {type: 'string', describe: 'File to write'})
          .options(load),
      async flags =>
        report(
          [runOptions(flags.seed, flags.faults as FaultKind[], flags)],
          flags.history,
        ),
    )
    .command(
      'free-seeds',
      'Runs with faults and seeds that differ each time',
      options =>
        options
          .option('runs', {type: 'number', default: 5})
          .option('pairs', {
            type: 'boolean',
            default: false,
            describe: 'Always two faults, any two of all kinds',
          })
          .options(load),
      async flags => report(freeRuns(flags.runs, flags.pairs, flags)),
    )
    .command(
      'measure',
      'How calls end through each fault at steady load',
      options =>
        options.option('seed', {type: 'number', default: 1}).options(load),
      async flags =>
        report(MEASURED.map(kinds => runOptions(flags.seed, kinds, flags))),
    )
    .demandCommand(1, 'name a command')
    .strict()
    .parseAsync();
}

function runOptions(
  seed: number,
  kinds: readonly FaultKind[],
  load: LoadFlags,
): FaultRunOptions {
  const {rate, seconds, concurrency, cutSeconds, resumeMs} = load;
  return {
    seed,
    kinds,
    requestsPerSecond: rate,
    seconds,
    settings: concurrency === undefined ? {} : {concurrency},
    ...(cutSeconds !== undefined && {cutMs: cutSeconds * 1_000}),
    resumeMs,
  };
}

function freeRuns(
  count: number,
  pairs: boolean,
  load: LoadFlags,
): FaultRunOptions[] {
  return Array.from({length: count}, () => {
    const seed = Math.floor(Math.random() * MAX_SEED);
    return runOptions(seed, pickKinds(new Random(seed), pairs), load);
  });
}

/** Runs, prints a table and each broken promise; fails where there is one. */
async function report(
  runs: readonly FaultRunOptions[],
  file?: string,
): Promise<void> {
  const rows = [];
  for (const options of runs) {
    const {history, violations, summary} = await runFaults(options);
    const faults = options.kinds.join(' ') || 'none';
    const broken = violations.length;
    rows.push({faults, seed: options.seed, ...summary, broken});
    for (const {rule, place, reason} of violations) {
      process.stdout.write(`${faults}: ${rule}: ${place}: ${reason}\n`);
    }
    process.exitCode = broken > 0 ? 1 : process.exitCode;
    if (file !== undefined) {
      await writeFile(file, formatHistory(history));
    }
  }
  process.stdout.write(formatTable(rows));
  const load = loadavg().map(value => value.toFixed(1));
  process.stdout.write(`load of the machine: ${load.join(' ')}\n`);
}
