import yargs from 'yargs';
import {Result} from 'true-myth';
import type {z} from 'zod';
import type {Finding} from '@marigoldspur/faults';
import {flagName, variableName} from './setting-names.js';

/** A program whose settings are read. */
export interface ProcessCommand<Schema extends z.ZodObject> {
  /** Name of the program. */
  readonly name: string;
  /** Version that `--version` prints. */
  readonly version: string;
  /** One sentence for `--help`. */
  readonly about: string;
  /** Settings; each field's description is its help text. */
  readonly schema: Schema;
  /** Settings that may also be given as positional arguments, in this order. */
  readonly operands?: ReadonlyArray<string & keyof Schema['shape']>;
}

/** Sources of the settings. Flags take precedence over variables. */
export interface SettingsSource {
  /** Arguments of the command line, without the program. */
  readonly args: readonly string[];
  readonly variables: NodeJS.ProcessEnv;
}

/** The settings and the mode that the command line requests. */
export interface ProcessInvocation<Values> {
  readonly settings: Values;
  /** Whether to check the settings without running the program. */
  readonly checkOnly: boolean;
}

/** Reads and validates the settings of a process; returns all findings together if any is invalid. */
export async function readProcessSettings<Schema extends z.ZodObject>(
  command: ProcessCommand<Schema>,
  source: SettingsSource,
): Promise<Result<ProcessInvocation<z.infer<Schema>>, Finding[]>> {
  const names = Object.keys(command.schema.shape);
  const findings: Finding[] = [];
  const flags = await parseFlags(command, names, source.args, findings);
  const raw: Record<string, string> = {};
  for (const name of names) {
    const value = flags[name] ?? source.variables[variableName(name)];
    if (Array.isArray(value)) {
      findings.push({
        place: settingPlace(name),
        reason: 'is given more than once',
      });
    } else if (value !== undefined) {
      raw[name] = String(value);
    }
  }
  const parsed = command.schema.safeParse(raw);
  if (!parsed.success) {
    for (const issue of parsed.error.issues) {
      const name = String(issue.path[0] ?? '');
      const isMissing = raw[name] === undefined;
      findings.push({
        place: settingPlace(name),
        reason: isMissing ? 'is required' : issue.message,
      });
    }
  }
  if (!parsed.success || findings.length > 0) {
    return Result.err(findings);
  }
  return Result.ok({settings: parsed.data, checkOnly: flags.check === true});
}

function settingPlace(name: string): string {
  return `--${flagName(name)} (${variableName(name)})`;
}

async function parseFlags<Schema extends z.ZodObject>(
  command: ProcessCommand<Schema>,
  names: readonly string[],
  args: readonly string[],
  findings: Finding[],
): Promise<Record<string, unknown>> {
  const parser = yargs([...args])
    .scriptName(command.name)
    .usage(`${command.name}: ${command.about}`)
    .version(command.version)
    .help()
    .option('check', {
      type: 'boolean',
      describe: 'Check the settings and exit without starting the program',
    })
    .strict()
    .exitProcess(true)
    .fail((message, error) => {
      findings.push({
        place: 'command line',
        reason: message ?? error.message,
      });
    });
  for (const name of names) {
    const field = command.schema.shape[name] as z.ZodType;
    parser.option(flagName(name), {
      type: 'string',
      describe: `${field.description ?? ''} [${variableName(name)}]`,
    });
  }
  const {operands = []} = command;
  if (operands.length > 0) {
    const places = operands.map(name => `[${flagName(name)}]`).join(' ');
    parser.command(`$0 ${places}`, command.about);
  }
  return (await parser.parseAsync()) as Record<string, unknown>;
}
