import type {z} from 'zod';
import {formatFindings, toFault} from '@marigoldspur/faults';
import {
  readProcessSettings,
  type ProcessCommand,
} from '@marigoldspur/process-settings';

/** A running part of the system. */
export interface Task {
  /** Ends the work that runs and resolves when all of it is done. */
  stop(): Promise<void>;
}

/** A program: its settings and how to start it. */
export interface ProcessDefinition<
  Schema extends z.ZodObject,
> extends ProcessCommand<Schema> {
  /** Starts the program; `drain` asks the process to shut down gracefully. */
  start(settings: z.infer<Schema>, drain: () => void): Promise<Task>;
}

/** A program that ends by itself: its settings and its work. */
export interface JobDefinition<
  Schema extends z.ZodObject,
> extends ProcessCommand<Schema> {
  /** Does the work; resolves to the exit code. */
  work(settings: z.infer<Schema>): Promise<number>;
}

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

/** Runs a program until SIGTERM or SIGINT; a second signal ends it at once. */
export async function runProcess<Schema extends z.ZodObject>(
  definition: ProcessDefinition<Schema>,
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const settings = await settingsOf(definition, args);
  if (settings !== undefined) {
    await runTask(definition.name, drain => definition.start(settings, drain));
  }
}

/** Runs a task until SIGTERM or SIGINT; a second signal ends it at once. */
export async function runTask(
  name: string,
  start: (drain: () => void) => Promise<Task>,
): Promise<void> {
  try {
    const {signalled, signal} = stopSignal();
    const task = await start(signal);
    await signalled;
    await task.stop();
    process.exit(0);
  } catch (thrown) {
    process.exit(report(name, thrown));
  }
}

/** Runs a program that ends by itself. */
export async function runJob<Schema extends z.ZodObject>(
  definition: JobDefinition<Schema>,
  args: readonly string[] = process.argv.slice(2),
): Promise<void> {
  const settings = await settingsOf(definition, args);
  if (settings === undefined) {
    return;
  }
  try {
    process.exitCode = await definition.work(settings);
  } catch (thrown) {
    process.exitCode = report(definition.name, thrown);
  }
}

/** Says why a program failed; returns its exit code. */
function report(program: string, thrown: unknown): number {
  const fault = toFault(thrown);
  process.stderr.write(`${program}: ${fault.message}\n`);
  return fault.code === 'INVALID_INPUT' ? EXIT_BAD_SETTINGS : EXIT_FAILED;
}

/** Reads settings; undefined where nothing is to run. */
async function settingsOf<Schema extends z.ZodObject>(
  command: ProcessCommand<Schema>,
  args: readonly string[],
): Promise<z.infer<Schema> | undefined> {
  const source = {args, variables: process.env};
  const read = await readProcessSettings(command, source);
  if (read.isErr) {
    process.stderr.write(`${formatFindings(read.error)}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return undefined;
  }
  if (read.value.checkOnly) {
    process.stdout.write('settings are valid\n');
    return undefined;
  }
  return read.value.settings;
}

function stopSignal(): {signalled: Promise<void>; signal: () => void} {
  let signal: () => void = () => {};
  const signalled = new Promise<void>(resolve => {
    signal = resolve;
  });
  let signals = 0;
  const receive = () => {
    signals += 1;
    if (signals > 1) {
      process.exit(EXIT_FAILED);
    }
    signal();
  };
  process.on('SIGTERM', receive);
  process.on('SIGINT', receive);
  return {signalled, signal};
}
