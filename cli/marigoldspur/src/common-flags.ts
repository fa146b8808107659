import type {Argv, Options} from 'yargs';
import {z} from 'zod';
import {InvalidInput, type Finding} from '@marigoldspur/faults';
import {
  flagName,
  LIST_SCHEMA,
  variableName,
} from '@marigoldspur/process-settings';

const DEFAULT_CONTROL_URL = 'http://127.0.0.1:7100';
const DEFAULT_TIMEOUT_MS = 10_000;
const MAX_AUTHOR_LENGTH = 128;

/** Flags that every command accepts. */
const COMMON_FLAGS_SCHEMA = z.object({
  control: LIST_SCHEMA.pipe(
    z.array(z.url({protocol: /^https?$/})).min(1),
  ).describe('Base URLs of the replicas of control, separated by commas'),
  ca: z
    .string()
    .min(1)
    .optional()
    .describe('Certificate authority of the system, PEM file'),
  token: z.string().min(1).optional().describe('Token of the operator'),
  timeoutMs: z.coerce
    .number()
    .int()
    .min(1)
    .describe('Timeout of a command, in milliseconds'),
  author: z
    .string()
    .min(1)
    .max(MAX_AUTHOR_LENGTH)
    .describe('Author of changes if no token identifies the operator'),
  number: z.coerce
    .number()
    .int()
    .min(1)
    .optional()
    .describe('Revision that a change creates; the next one by default'),
  wait: z.boolean().describe('Wait until a change is in force everywhere'),
  json: z.boolean().describe('Print JSON for programs'),
  check: z.boolean().describe('Check the input without changing anything'),
});

/** Values of the flags that every command accepts. */
export type CommonFlags = z.infer<typeof COMMON_FLAGS_SCHEMA>;

type FlagName = keyof CommonFlags;

const DEFAULTS: Partial<Record<FlagName, string>> = {
  control: DEFAULT_CONTROL_URL,
  timeoutMs: String(DEFAULT_TIMEOUT_MS),
  author: 'operator',
};
const BOOLEAN_FLAGS = new Set<FlagName>(['wait', 'json', 'check']);
const SECRET_FLAGS = new Set<FlagName>(['token']);
const FLAG_NAMES = Object.keys(COMMON_FLAGS_SCHEMA.shape) as FlagName[];

/** Adds the flags that every command accepts, with environment variables as their defaults. */
export function addCommonFlags(
  parser: Argv,
  variables: NodeJS.ProcessEnv,
): Argv {
  return FLAG_NAMES.reduce(
    (flags, name) =>
      flags.option(flagName(name), createFlagOptions(name, variables)),
    parser,
  );
}

/** Parses the flags that every command accepts; throws `InvalidInput` with all findings. */
export function readCommonFlags(args: unknown): CommonFlags {
  const parsed = COMMON_FLAGS_SCHEMA.safeParse(args);
  if (!parsed.success) {
    throw new InvalidInput(parsed.error.issues.map(toFinding));
  }
  return parsed.data;
}

function createFlagOptions(
  name: FlagName,
  variables: NodeJS.ProcessEnv,
): Options {
  const describe = COMMON_FLAGS_SCHEMA.shape[name].description ?? '';
  if (BOOLEAN_FLAGS.has(name)) {
    return {type: 'boolean', default: false, describe};
  }
  const fromEnvironment = variables[variableName(name)];
  return {
    type: 'string',
    describe: `${describe} [${variableName(name)}]`,
    default: fromEnvironment ?? DEFAULTS[name],
    ...(SECRET_FLAGS.has(name) ? {defaultDescription: 'none'} : {}),
  };
}

function toFinding(issue: z.core.$ZodIssue): Finding {
  const name = String(issue.path[0] ?? '');
  const place = `--${flagName(name)} (${variableName(name)})`;
  return {place, reason: issue.message};
}
