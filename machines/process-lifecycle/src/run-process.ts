import type {z} from 'zod';
import {formatFindings, toFault} from '@marigoldspur/faults';
import {
  readProcessSettings,
  type ProcessCommand,
} from '@marigoldspur/process-settings';

/** A started program, or a part of one, that can be stopped. */
export interface Task {
  /** Finishes the running work and resolves when all of it is done. */
  stop(): Promise<void>;
}

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

const EXIT_CODE_FAILED = 1;
const EXIT_CODE_INVALID_SETTINGS = 2;

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

/**
 * Runs a task until SIGTERM or SIGINT; a second signal exits immediately. A signal before the
 * task has started exits at once, because there is no work to finish.
 */
export async function runTask(
  name: string,
  start: (drain: () => void) => Promise<Task>,
): Promise<void> {
  try {
    const {stopped, requestStop} = listenForStop();
    const task = await Promise.race([start(requestStop), stopped]);
    await stopped;
    await task?.stop();
    process.exit(0);
  } catch (thrown) {
    process.exit(reportFailure(name, thrown));
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

/** Prints why a program failed; returns its exit code. */
function reportFailure(program: string, thrown: unknown): number {
  const fault = toFault(thrown);
  process.stderr.write(`${program}: ${fault.message}\n`);
  return fault.code === 'INVALID_INPUT'
    ? EXIT_CODE_INVALID_SETTINGS
    : EXIT_CODE_FAILED;
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

function listenForStop(): {stopped: Promise<void>; requestStop: () => void} {
  let requestStop: () => void = () => {};
  const stopped = new Promise<void>(resolve => {
    requestStop = resolve;
  });
  let signalCount = 0;
  const onSignal = () => {
    signalCount += 1;
    if (signalCount > 1) {
      process.exit(EXIT_CODE_FAILED);
    }
    requestStop();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  return {stopped, requestStop};
}
