import {z} from 'zod';
import {runProcess, type Task} from '@marigoldspur/process-life';
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

const port = PORT_SCHEMA.default(0).describe('Port on loopback; 0 takes any');
const count = z.coerce.number().int().min(1);
const whole = z.coerce.number().int().min(0);

const ENGINE_SCHEMA = z.object({
  port,
  slots: count.default(6).describe('Adapter slots'),
  batchLimit: count.default(16).describe('Requests in one batch at most'),
  storeUrl: z.url().describe('Base URL of the weight store'),
  firstTokenMs: DURATION_MS_SCHEMA.default(20).describe(
    'Time to the first token, in milliseconds',
  ),
  tokenMs: DURATION_MS_SCHEMA.default(5).describe(
    'Time between tokens, in milliseconds',
  ),
  checksFence: BOOLEAN_SCHEMA.default(true).describe(
    'Whether orders with an old fencing number are refused',
  ),
  resumeMs: DURATION_MS_SCHEMA.default(0).describe(
    'How long a broken stream is kept, in milliseconds; 0 for not at all',
  ),
  cacheBlocks: whole
    .default(0)
    .describe('Prompt blocks in the prefix cache; 0 for no cache'),
  blockCharacters: count
    .default(64)
    .describe('Characters of a prompt in one block of the prefix cache'),
  prefillMs: DURATION_MS_SCHEMA.default(0).describe(
    'Time to prefill a block that is not cached, in milliseconds',
  ),
  cacheLagMs: DURATION_MS_SCHEMA.default(0).describe(
    'Time by which events of the prefix cache come late, in milliseconds',
  ),
  cacheDropShare: z.coerce
    .number()
    .min(0)
    .max(1)
    .default(0)
    .describe('Share of the events of the prefix cache that are never sent'),
  cacheDropSeed: whole
    .default(1)
    .describe('Seed that chooses the events that are never sent'),
});

const SERVICE_SCHEMA = z.object({
  port,
  callMs: DURATION_MS_SCHEMA.default(5).describe(
    'Time of one call, in milliseconds',
  ),
});

const STORE_SCHEMA = z.object({
  port,
  loadsPerSecond: z.coerce
    .number()
    .positive()
    .default(4)
    .describe('Loads a second at full speed, which it reaches one at a time'),
});

const BALANCER_SCHEMA = z.object({
  port,
  entries: LIST_SCHEMA.pipe(z.array(z.url()).min(1)).describe(
    'Base URLs of the entries’ caller ports',
  ),
  checkMs: DURATION_MS_SCHEMA.default(200).describe(
    'Time between readiness checks, in milliseconds',
  ),
});

/** Commands that run a stand-in until they are told to stop. */
export const STAND_IN_COMMANDS: readonly LabCommand[] = [
  standIn('engine', 'Stand-in for a model engine', ENGINE_SCHEMA, startEngine),
  standIn(
    'service',
    'Stand-in for a plain service',
    SERVICE_SCHEMA,
    startPlainService,
  ),
  standIn(
    'store',
    'Stand-in for the weight store',
    STORE_SCHEMA,
    startWeightStore,
  ),
  standIn(
    'balancer',
    'Stand-in for the platform’s balancer',
    BALANCER_SCHEMA,
    startBalancer,
  ),
];

function standIn<Schema extends z.ZodObject>(
  name: string,
  about: string,
  schema: Schema,
  open: (settings: z.infer<Schema>) => Promise<StandIn>,
): LabCommand {
  const definition = {
    name: `marigoldspur-lab ${name}`,
    version: VERSION,
    about,
    schema,
    start: async (settings: z.infer<Schema>): Promise<Task> => {
      const opened = await open(settings);
      process.stderr.write(`ready ${opened.url}\n`);
      return opened;
    },
  };
  return {name, about, run: args => runProcess(definition, args)};
}
