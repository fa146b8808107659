import {readFile} from 'node:fs/promises';
import type {Result} from 'true-myth';
import {InvalidInput, type Fault} from '@marigoldspur/faults';
import {
  openSession,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import type {CommonFlags} from './common-flags.js';

/** Where a command writes its output and its errors. */
export interface CommandOutput {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Exit codes of the command-line client. */
export const EXIT_CODES = {
  /** The command succeeded. */
  done: 0,
  /** The command failed. */
  failed: 1,
  /** The input is invalid. */
  badInput: 2,
  /** Another change already has the revision number. */
  conflict: 3,
  /** Control, or a quorum of it, was unreachable; the outcome of a change is unknown. */
  unavailable: 4,
  /** The operator's token does not allow the command. */
  forbidden: 5,
} as const;

/** The session, flags and output of a command. */
export interface CommandContext extends CommandOutput {
  readonly session: OperatorSession;
  readonly flags: CommonFlags;
}

/** Runs a command with its session; resolves to the exit code. */
export type Command<Arguments> = (
  context: CommandContext,
  args: Arguments,
) => Promise<number>;

/** Validates a command's own arguments without a connection; throws `InvalidInput`. */
export type ValidateArguments<Arguments> = (args: Arguments) => unknown;

/** Creates the handler of a command for the argument parser. */
export type CreateHandler = <Arguments>(
  command: Command<Arguments>,
  validate?: ValidateArguments<Arguments>,
) => (args: Arguments) => Promise<void>;

/** Opens the session that the flags describe; throws `InvalidInput`. */
export async function openContext(
  flags: CommonFlags,
  output: CommandOutput,
): Promise<CommandContext> {
  const ca = flags.ca === undefined ? undefined : await readPem(flags.ca);
  const {timeoutMs, token} = flags;
  const session = openSession(flags.control, {timeoutMs, ca, token});
  return {...output, session, flags};
}

/** Returns the value of a result, or throws its fault. */
export function unwrapOrThrow<T>(result: Result<T, Fault>): T {
  if (result.isErr) {
    throw result.error;
  }
  return result.value;
}

/** Formats a value as indented JSON with a newline at the end. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

/** Reads the PEM file of the `--ca` flag; throws `InvalidInput`. */
export async function readPem(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    throw new InvalidInput([{place: '--ca', reason}]);
  }
}
