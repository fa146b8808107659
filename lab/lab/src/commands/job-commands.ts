import {z} from 'zod';
import {
  measureDecisions,
  measureEstimatorMemory,
  runExperimentCommand,
} from '@marigoldspur/experiment';
import {runJob, type JobDefinition} from '@marigoldspur/process-lifecycle';
import {
  BOOLEAN_SCHEMA,
  LIST_SCHEMA,
  VERSION,
} from '@marigoldspur/process-settings';
import {runDemo} from '../demo.js';
import type {LabCommand} from '../lab-command.js';
import {replayTrace} from '../replay-trace.js';

const SEED_SCHEMA = z.coerce.number<string>().int().min(0);
const LOAD_SCHEMA = z.coerce.number<string>().positive();
const SECONDS_SCHEMA = z.coerce.number<string>().positive();
const WORKLOAD_FILE_SCHEMA = z
  .string()
  .min(1)
  .describe('Workload file, YAML or JSON');

const EXPERIMENT_SCHEMA = z.object({
  file: WORKLOAD_FILE_SCHEMA,
  scenarios: LIST_SCHEMA.optional().describe(
    'Scenarios to run, separated by commas; all by default',
  ),
  policies: LIST_SCHEMA.optional().describe(
    'Policies to run, separated by commas; all by default',
  ),
  loads: LIST_SCHEMA.pipe(z.array(LOAD_SCHEMA))
    .optional()
    .describe(
      'Loads as multiples of the knee rate, separated by commas; those of the workload file by default',
    ),
  seeds: LIST_SCHEMA.pipe(z.array(SEED_SCHEMA))
    .optional()
    .describe(
      'Seeds of the traces, separated by commas; those of the workload file by default',
    ),
  out: z
    .string()
    .min(1)
    .optional()
    .describe(
      'Folder in which report.json and report.html are written; without it, the table is only printed',
    ),
  compare: z
    .string()
    .min(1)
    .optional()
    .describe('Path of an earlier report.json to compare the results with'),
  knee: BOOLEAN_SCHEMA.default(false).describe(
    'Find the knee rate of each policy, at which the store saturates, instead of measuring',
  ),
});

const REPLAY_SCHEMA = z.object({
  file: WORKLOAD_FILE_SCHEMA,
  policy: z.string().min(1).describe('Name of a policy in the workload file'),
  load: LOAD_SCHEMA.default(1).describe('Load as a multiple of the knee rate'),
  seed: SEED_SCHEMA.default(101).describe('Seed of the trace'),
  warmUpSeconds: SECONDS_SCHEMA.default(30).describe(
    'Warm-up time before the measurement, in seconds; its requests are not counted',
  ),
  measuredSeconds: SECONDS_SCHEMA.default(30).describe(
    'Duration of the measurement, in seconds',
  ),
});

/** Commands that run a job and exit. */
export const JOB_COMMANDS: readonly LabCommand[] = [
  defineJob({
    name: 'demo',
    about: 'Start both deployments, send requests and print the result of each',
    schema: z.object({}),
    work: async () => {
      const isSuccessful = await runDemo(text => process.stdout.write(text));
      return isSuccessful ? 0 : 1;
    },
  }),
  defineJob({
    name: 'experiment',
    about: 'Measure the policies of a workload file on generated traces',
    schema: EXPERIMENT_SCHEMA,
    operands: ['file'],
    work: async settings => {
      await runExperimentCommand(settings, text => process.stdout.write(text));
      return 0;
    },
  }),
  defineJob({
    name: 'policy-costs',
    about: 'Measure the CPU time and memory of policy decisions',
    schema: z.object({}),
    work: async () => {
      printJson({
        decisions: measureDecisions(),
        tables: measureEstimatorMemory(),
      });
      return 0;
    },
  }),
  defineJob({
    name: 'replay',
    about: 'Replay the calm trace of a workload file against real processes',
    schema: REPLAY_SCHEMA,
    operands: ['file'],
    work: async settings => {
      printJson(await replayTrace(settings));
      return 0;
    },
  }),
];

function defineJob<Schema extends z.ZodObject>(
  definition: Omit<JobDefinition<Schema>, 'version'>,
): LabCommand {
  const {name, about} = definition;
  const program = {
    ...definition,
    name: `marigoldspur-lab ${name}`,
    version: VERSION,
  };
  return {name, about, run: args => runJob(program, args)};
}

function printJson(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}
