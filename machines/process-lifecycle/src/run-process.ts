import type {z} from 'zod';
import {formatFindings} from '@marigoldspur/faults';
import {
  readProcessSettings,
  type ProcessCommand,
} from '@marigoldspur/process-settings';
import {
  EXIT_CODE_INVALID_SETTINGS,
  reportFailure,
  runTask,
  type Task,
} from './run-task.js';

/** Definition of a program that runs until it is stopped. */
export interface ProcessDefinition<
  Schema extends z.ZodObject,
> extends ProcessCommand<Schema> {
  /** Starts the program; `drain` asks the process to shut down gracefully. */
  start(settings: z.infer<Schema>, drain: () => void): Promise<Task>;
}

/** Definition of a program that ends by itself. */
export interface JobDefinition<
  Schema extends z.ZodObject,
> extends ProcessCommand<Schema> {
  /** Runs the program; resolves to its exit code. */
  work(settings: z.infer<Schema>): Promise<number>;
}

/** Runs a program until SIGTERM or SIGINT; a second signal exits immediately. */
export async function runProcess<Schema extends z.ZodObject>(
  definition: ProcessDefinition<Schema>,
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const settings = await readSettings(definition, args);
  if (settings !== undefined) {
    await runTask(definition.name, drain => definition.start(settings, drain));
  }
}

/** Runs a program that ends by itself. */
export async function runJob<Schema extends z.ZodObject>(
  definition: JobDefinition<Schema>,
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const settings = await readSettings(definition, args);
  if (settings === undefined) {
    return;
  }
  try {
    process.exitCode = await definition.work(settings);
  } catch (thrown) {
    process.exitCode = reportFailure(definition.name, thrown);
  }
}

/** Reads the settings; undefined if the program should not run. */
async function readSettings<Schema extends z.ZodObject>(
  command: ProcessCommand<Schema>,
  args: readonly string[],
): Promise<z.infer<Schema> | undefined> {
  const source = {args, variables: process.env};
  const result = await readProcessSettings(command, source);
  if (result.isErr) {
    process.stderr.write(`${formatFindings(result.error)}\n`);
    process.exitCode = EXIT_CODE_INVALID_SETTINGS;
    return undefined;
  }
  if (result.value.checkOnly) {
    process.stdout.write('settings are valid\n');
    return undefined;
  }
  return result.value.settings;
}
