import {z} from 'zod';
import {runProcess, type Task} from '@marigoldspur/process-lifecycle';
import {
  BOOLEAN_SCHEMA,
  DURATION_MS_SCHEMA,
  LIST_SCHEMA,
  PORT_SCHEMA,
  VERSION,
} from '@marigoldspur/process-settings';
import {
  startBalancer,
  startEngine,
  startPlainService,
  startWeightStore,
  type StandIn,
} from '@marigoldspur/stand-ins';
import type {LabCommand} from '../lab-command.js';

const OPTIONAL_PORT_SCHEMA = PORT_SCHEMA.default(0).describe(
  'Port on loopback; 0 selects a free port',
);
const POSITIVE_INT_SCHEMA = z.coerce.number().int().min(1);
const NON_NEGATIVE_INT_SCHEMA = z.coerce.number().int().min(0);

const ENGINE_SCHEMA = z.object({
  port: OPTIONAL_PORT_SCHEMA,
  slots: POSITIVE_INT_SCHEMA.default(6).describe('Number of adapter slots'),
  batchLimit: POSITIVE_INT_SCHEMA.default(16).describe(
    'Maximum number of requests in a batch',
  ),
  storeUrl: z.url().describe('Base URL of the weight store'),
  firstTokenMs: DURATION_MS_SCHEMA.default(20).describe(
    'Time to the first token, in milliseconds',
  ),
  tokenMs: DURATION_MS_SCHEMA.default(5).describe(
    'Time between tokens, in milliseconds',
  ),
  checksFence: BOOLEAN_SCHEMA.default(true).describe(
    'Whether the engine refuses orders with an outdated fencing number',
  ),
  resumeMs: DURATION_MS_SCHEMA.default(0).describe(
    'Time in which a broken stream can be resumed, in milliseconds; 0 disables resumption',
  ),
  cacheBlocks: NON_NEGATIVE_INT_SCHEMA.default(0).describe(
    'Capacity of the prefix cache in prompt blocks; 0 disables the cache',
  ),
  blockCharacters: POSITIVE_INT_SCHEMA.default(64).describe(
    'Number of prompt characters in a block of the prefix cache',
  ),
  prefillMs: DURATION_MS_SCHEMA.default(0).describe(
    'Time to process a prompt block that is not in the prefix cache, in milliseconds',
  ),
  cacheLagMs: DURATION_MS_SCHEMA.default(0).describe(
    'Delay before the events of the prefix cache are published, in milliseconds',
  ),
  cacheDropShare: z.coerce
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe(
      'Share of the events of the prefix cache that are dropped, from 0 to 1',
    ),
  cacheDropSeed: NON_NEGATIVE_INT_SCHEMA.default(1).describe(
    'Seed of the random numbers that select the dropped events',
  ),
});

const SERVICE_SCHEMA = z.object({
  port: OPTIONAL_PORT_SCHEMA,
  callMs: DURATION_MS_SCHEMA.default(5).describe(
    'Duration of a call, in milliseconds',
  ),
});

const STORE_SCHEMA = z.object({
  port: OPTIONAL_PORT_SCHEMA,
  loadsPerSecond: z.coerce
    .number()
    .positive()
    .default(4)
    .describe(
      'Number of loads per second when loads run one at a time; concurrent loads are slower',
    ),
});

const BALANCER_SCHEMA = z.object({
  port: OPTIONAL_PORT_SCHEMA,
  entries: LIST_SCHEMA.pipe(z.array(z.url()).min(1)).describe(
    'Base URLs of the caller ports of the entries, separated by commas',
  ),
  checkMs: DURATION_MS_SCHEMA.default(200).describe(
    'Interval and timeout of the readiness checks of the entries, in milliseconds',
  ),
});

/** Commands that run a stand-in until they are stopped. */
export const STAND_IN_COMMANDS: readonly LabCommand[] = [
  defineStandIn(
    'engine',
    'Stand-in for a model engine',
    ENGINE_SCHEMA,
    startEngine,
  ),
  defineStandIn(
    'service',
    'Stand-in for a plain service',
    SERVICE_SCHEMA,
    startPlainService,
  ),
  defineStandIn(
    'store',
    'Stand-in for the weight store',
    STORE_SCHEMA,
    startWeightStore,
  ),
  defineStandIn(
    'balancer',
    'Stand-in for the load balancer of the platform',
    BALANCER_SCHEMA,
    startBalancer,
  ),
];

function defineStandIn<Schema extends z.ZodObject>(
  name: string,
  about: string,
  schema: Schema,
  startStandIn: (settings: z.infer<Schema>) => Promise<StandIn>,
): LabCommand {
  const definition = {
    name: `marigoldspur-lab ${name}`,
    version: VERSION,
    about,
    schema,
    start: async (settings: z.infer<Schema>): Promise<Task> => {
      const standIn = await startStandIn(settings);
      process.stderr.write(`ready ${standIn.url}\n`);
      return standIn;
    },
  };
  return {name, about, run: args => runProcess(definition, args)};
}
