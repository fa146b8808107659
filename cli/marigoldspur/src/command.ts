import {readFile} from 'node:fs/promises';
import type {Result} from 'true-myth';
import {InvalidInput, type Fault} from '@marigoldspur/faults';
import {
  openSession,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import type {CommonFlags} from './common-flags.js';

/** Where a command writes to. */
export interface CommandOutput {
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Exit codes of the command-line client. */
export const EXIT_CODES = {
  /** The command did what it was asked for. */
  done: 0,
  /** The command failed. */
  failed: 1,
  /** The input has findings. */
  badInput: 2,
  /** Another change took the number. */
  conflict: 3,
  /** Control or a quorum of it was out of reach; the outcome of a change is open. */
  unavailable: 4,
  /** The operator's token does not allow it. */
  forbidden: 5,
} as const;

/** What a command works with. */
export interface CommandContext extends CommandOutput {
  readonly session: OperatorSession;
  readonly flags: CommonFlags;
}

/** Runs a command with its session; resolves to the exit code. */
export type Command<Arguments> = (
  context: CommandContext,
  args: Arguments,
) => Promise<number>;

/** Checks a command's own arguments without a connection; throws `InvalidInput`. */
export type ValidateArguments<Arguments> = (args: Arguments) => unknown;

/** Turns a command into a handler for the argument parser. */
export type CreateHandler = <Arguments>(
  command: Command<Arguments>,
  check?: ValidateArguments<Arguments>,
) => (args: Arguments) => Promise<void>;

/** Opens the session that the flags ask for; throws `InvalidInput`. */
export async function openContext(
  flags: CommonFlags,
  console: CommandOutput,
): Promise<CommandContext> {
  const ca = flags.ca === undefined ? undefined : await readPem(flags.ca);
  const {timeoutMs, token} = flags;
  const session = openSession(flags.control, {timeoutMs, ca, token});
  return {...console, session, flags};
}

/** The value of a result; throws its fault. */
export function unwrapOrThrow<T>(result: Result<T, Fault>): T {
  if (result.isErr) {
    throw result.error;
  }
  return result.value;
}

/** Renders a value for programs. */
export function toJson(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}

/** Reads a PEM file of the command line; throws `InvalidInput`. */
export async function readPem(file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (thrown) {
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    throw new InvalidInput([{place: '--ca', reason}]);
  }
}
