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
const MEASURED_FAULTS: ReadonlyArray<readonly FaultKind[]> = [
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

/** Runs one command of `marigoldspur-fault-runs`. */
export async function runCommand(args: readonly string[]): Promise<void> {
  const load = {
    rate: {type: 'number', default: 30, describe: 'Requests per second'},
    seconds: {
      type: 'number',
      default: 8,
      describe: 'Duration of the load in seconds',
    },
    concurrency: {
      type: 'number',
      describe: 'Concurrent requests at one entry',
    },
    'cut-seconds': {
      type: 'number',
      describe: 'How long links stay cut, in seconds',
    },
    'resume-ms': {
      type: 'number',
      describe: 'How long engines keep a broken stream for resumption, in ms',
    },
  } as const;
  await yargs([...args])
    .scriptName('marigoldspur-fault-runs')
    .command(
      'run',
      'Run once with the given faults',
      options =>
        options
          .option('seed', {type: 'number', default: 1})
          .option('faults', {
            type: 'array',
            choices: FAULT_KINDS,
            default: [] as FaultKind[],
          })
          .option('history', {
            type: 'string',
            describe: 'File to write the history to',
          })
          .options(load),
      async flags =>
        runAndReport(
          [toRunOptions(flags.seed, flags.faults as FaultKind[], flags)],
          flags.history,
        ),
    )
    .command(
      'free-seeds',
      'Run several times with random faults and seeds',
      options =>
        options
          .option('runs', {type: 'number', default: 5})
          .option('pairs', {
            type: 'boolean',
            default: false,
            describe: 'Inject two faults of any kind in each run',
          })
          .options(load),
      async flags =>
        runAndReport(planRandomRuns(flags.runs, flags.pairs, flags)),
    )
    .command(
      'measure',
      'Show how calls end under each fault at a steady load',
      options =>
        options.option('seed', {type: 'number', default: 1}).options(load),
      async flags =>
        runAndReport(
          MEASURED_FAULTS.map(kinds => toRunOptions(flags.seed, kinds, flags)),
        ),
    )
    .demandCommand(1, 'name a command')
    .strict()
    .parseAsync();
}

function toRunOptions(
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

function planRandomRuns(
  count: number,
  isPair: boolean,
  load: LoadFlags,
): FaultRunOptions[] {
  return Array.from({length: count}, () => {
    const seed = Math.floor(Math.random() * MAX_SEED);
    return toRunOptions(seed, pickKinds(new Random(seed), isPair), load);
  });
}

/** Performs runs and prints a table and each violation; sets exit code 1 if there is any violation. */
async function runAndReport(
  runs: readonly FaultRunOptions[],
  historyFile?: string,
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
    if (historyFile !== undefined) {
      await writeFile(historyFile, formatHistory(history));
    }
  }
  process.stdout.write(formatTable(rows));
  const loadAverages = loadavg().map(value => value.toFixed(1));
  process.stdout.write(
    `load average (1, 5 and 15 min): ${loadAverages.join(' ')}\n`,
  );
}
