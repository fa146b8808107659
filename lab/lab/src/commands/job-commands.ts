import {z} from 'zod';
import {
  measureDecisions,
  measureTables,
  runExperimentCommand,
} from '@marigoldspur/experiment';
import {runJob, type JobDefinition} from '@marigoldspur/process-life';
import {
  BOOLEAN_SCHEMA,
  LIST_SCHEMA,
  VERSION,
} from '@marigoldspur/process-settings';
import {runDemo} from '../demo.js';
import type {LabCommand} from '../lab-command.js';
import {replayTrace} from '../replay-trace.js';

const seed = z.coerce.number<string>().int().min(0);
const load = z.coerce.number<string>().positive();
const seconds = z.coerce.number<string>().positive();
const workloadFile = z.string().min(1).describe('Workload file, YAML or JSON');

const EXPERIMENT_SCHEMA = z.object({
  file: workloadFile,
  scenarios: LIST_SCHEMA.optional().describe('Scenarios; all by default'),
  policies: LIST_SCHEMA.optional().describe('Policies; all by default'),
  loads: LIST_SCHEMA.pipe(z.array(load))
    .optional()
    .describe('Multiples of the knee rate'),
  seeds: LIST_SCHEMA.pipe(z.array(seed))
    .optional()
    .describe('Seeds of the traces'),
  out: z
    .string()
    .min(1)
    .optional()
    .describe('Folder for report.json and report.html'),
  compare: z.string().min(1).optional().describe('An earlier report.json'),
  knee: BOOLEAN_SCHEMA.default(false).describe('Find the knee rates instead'),
});

const REPLAY_SCHEMA = z.object({
  file: workloadFile,
  policy: z.string().min(1).describe('Policy of the workload'),
  load: load.default(1).describe('Multiple of the knee rate'),
  seed: seed.default(101).describe('Seed of the trace'),
  warmUpSeconds: seconds.default(30).describe('Time that is not measured'),
  measuredSeconds: seconds.default(30).describe('Time that is measured'),
});

/** Commands that end by themselves. */
export const JOB_COMMANDS: readonly LabCommand[] = [
  job({
    name: 'demo',
    about: 'Start both deployments, send requests and print what ran where',
    schema: z.object({}),
    work: async () => {
      const good = await runDemo(text => process.stdout.write(text));
      return good ? 0 : 1;
    },
  }),
  job({
    name: 'experiment',
    about: 'Measure the policies of a workload file on generated traces',
    schema: EXPERIMENT_SCHEMA,
    operands: ['file'],
    work: async settings => {
      await runExperimentCommand(settings, text => process.stdout.write(text));
      return 0;
    },
  }),
  job({
    name: 'policy-costs',
    about: 'Measure the CPU time and memory of policy decisions',
    schema: z.object({}),
    work: async () => {
      print({decisions: measureDecisions(), tables: measureTables()});
      return 0;
    },
  }),
  job({
    name: 'replay',
    about: 'Send the calm trace of a workload file to real processes',
    schema: REPLAY_SCHEMA,
    operands: ['file'],
    work: async settings => {
      print(await replayTrace(settings));
      return 0;
    },
  }),
];

function job<Schema extends z.ZodObject>(
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

function print(value: unknown): void {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
}
