import yargs from 'yargs';
import {VERSION} from '@marigoldspur/process-settings';
import {
  measureDecisions,
  measureTables,
  runExperimentCommand,
} from '@marigoldspur/experiment';
import {
  startBalancer,
  startEngine,
  startPlainService,
  startWeightStore,
  type StandIn,
} from '@marigoldspur/stand-ins';
import {runDemo} from './demo.js';
import {replayTrace} from './replay-trace.js';

const port = {
  type: 'number',
  default: 0,
  describe: 'Port on loopback',
} as const;

/** Runs one command of the lab. */
export async function runLab(args: readonly string[]): Promise<void> {
  await yargs([...args])
    .scriptName('marigoldspur-lab')
    .version(VERSION)
    .command(
      'engine',
      'Stand-in for a model engine',
      options =>
        options
          .option('port', port)
          .option('slots', {type: 'number', default: 6})
          .option('batch-limit', {type: 'number', default: 16})
          .option('store-url', {type: 'string', demandOption: true})
          .option('first-token-ms', {type: 'number', default: 20})
          .option('token-ms', {type: 'number', default: 5})
          .option('checks-fence', {type: 'boolean', default: true})
          .option('resume-ms', {type: 'number', default: 0}),
      async flags => announce(await startEngine(flags)),
    )
    .command(
      'service',
      'Stand-in for a plain service',
      options =>
        options
          .option('port', port)
          .option('call-ms', {type: 'number', default: 5}),
      async flags => announce(await startPlainService(flags)),
    )
    .command(
      'store',
      'Stand-in for the weight store',
      options =>
        options
          .option('port', port)
          .option('loads-per-second', {type: 'number', default: 4}),
      async flags => announce(await startWeightStore(flags)),
    )
    .command(
      'balancer',
      'Stand-in for the platform’s balancer',
      options =>
        options
          .option('port', port)
          .option('entries', {type: 'string', demandOption: true})
          .option('check-ms', {type: 'number', default: 200}),
      async flags =>
        announce(
          await startBalancer({...flags, entries: flags.entries.split(',')}),
        ),
    )
    .command(
      'demo',
      'Start both deployments, send requests and print what ran where',
      options => options,
      async () => {
        const good = await runDemo(text => process.stdout.write(text));
        process.exitCode = good ? 0 : 1;
      },
    )
    .command(
      'experiment <file>',
      'Measure the policies of a workload file on generated traces',
      options =>
        options
          .positional('file', {type: 'string', demandOption: true})
          .option('scenarios', {type: 'string', array: true})
          .option('policies', {type: 'string', array: true})
          .option('loads', {
            type: 'number',
            array: true,
            describe: 'Multiples of the knee rate',
          })
          .option('seeds', {type: 'number', array: true})
          .option('out', {
            type: 'string',
            describe: 'Folder for report.json and report.html',
          })
          .option('compare', {
            type: 'string',
            describe: 'An earlier report.json',
          })
          .option('knee', {
            type: 'boolean',
            describe: 'Find the knee rates instead',
          }),
      flags => runExperimentCommand(flags, text => process.stdout.write(text)),
    )
    .command(
      'policy-costs',
      'Measure the CPU time and memory of policy decisions',
      options => options,
      () => {
        const costs = {decisions: measureDecisions(), tables: measureTables()};
        process.stdout.write(`${JSON.stringify(costs, null, 2)}\n`);
      },
    )
    .command(
      'replay <file>',
      'Send the calm trace of a workload file to real processes',
      options =>
        options
          .positional('file', {type: 'string', demandOption: true})
          .option('policy', {type: 'string', demandOption: true})
          .option('load', {type: 'number', default: 1})
          .option('seed', {type: 'number', default: 101})
          .option('warm-up-seconds', {type: 'number', default: 30})
          .option('measured-seconds', {type: 'number', default: 30}),
      async flags => {
        const figures = await replayTrace(flags);
        process.stdout.write(`${JSON.stringify(figures)}\n`);
      },
    )
    .demandCommand(1, 'name a command')
    .strict()
    .parseAsync();
}

function announce(standIn: StandIn): void {
  process.stderr.write(`ready ${standIn.url}\n`);
  const stop = () => void standIn.stop().then(() => process.exit(0));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}
