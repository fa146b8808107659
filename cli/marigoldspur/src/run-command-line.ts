import yargs from 'yargs';
import {InvalidInput, toFault, type Fault} from '@marigoldspur/faults';
import {VERSION} from '@marigoldspur/process-settings';
import {
  EXIT_CODES,
  openContext,
  readPem,
  type CommandOutput,
  type CreateHandler,
} from './command.js';
import {
  addCommonFlags,
  readCommonFlags,
  type CommonFlags,
} from './common-flags.js';
import {addKeyCommands} from './commands/key-commands.js';
import {addSettingsCommands} from './commands/settings-commands.js';
import {addSystemCommands} from './commands/system-commands.js';
import {addTreeCommands} from './commands/tree-commands.js';

/** Output and environment of a command line. */
export interface CommandLineOptions extends CommandOutput {
  /** Environment variables; flags take precedence over them. */
  readonly variables: NodeJS.ProcessEnv;
}

/** Runs one command of an operator; resolves to its exit code. */
export async function runCommandLine(
  args: readonly string[],
  options: CommandLineOptions,
): Promise<number> {
  let exitCode: number = EXIT_CODES.done;
  const createHandler: CreateHandler = (command, validate) => async parsed => {
    const flags = readCommonFlags(parsed);
    if (flags.check) {
      await checkCaFile(flags);
      await validate?.(parsed);
      options.write('the input is valid\n');
      return;
    }
    const context = await openContext(flags, options);
    try {
      exitCode = await command(context, parsed);
    } finally {
      context.session.close();
    }
  };
  const parser = createParser(args, options.variables);
  parser.command('settings', 'Read and change the settings tree', subcommands =>
    addSettingsCommands(subcommands, createHandler),
  );
  addTreeCommands(parser, createHandler);
  addSystemCommands(parser, createHandler);
  addKeyCommands(parser, options, code => {
    exitCode = code;
  });
  try {
    await parser.parseAsync();
  } catch (thrown) {
    const fault = toFault(thrown);
    options.writeError(`${fault.message}\n`);
    return findExitCode(fault);
  }
  return exitCode;
}

function createParser(args: readonly string[], variables: NodeJS.ProcessEnv) {
  const parser = yargs([...args])
    .scriptName('marigoldspur')
    .usage('marigoldspur: operate the system through its settings tree')
    .version(VERSION);
  return addCommonFlags(parser, variables)
    .epilog(
      'Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 control unreachable, 5 forbidden',
    )
    .demandCommand(1, 'name a command')
    .strict()
    .exitProcess(false)
    .fail((message, error) => {
      throw (
        error ?? new InvalidInput([{place: 'command line', reason: message}])
      );
    });
}

async function checkCaFile(flags: CommonFlags): Promise<void> {
  if (flags.ca !== undefined) {
    await readPem(flags.ca);
  }
}

function findExitCode(fault: Fault): number {
  switch (fault.code) {
    case 'INVALID_INPUT':
      return EXIT_CODES.badInput;
    case 'CONFLICT':
      return EXIT_CODES.conflict;
    case 'FORBIDDEN':
      return EXIT_CODES.forbidden;
    case 'UNAVAILABLE':
    case 'NO_QUORUM':
    case 'NOT_LEADER':
    case 'TIMEOUT':
      return EXIT_CODES.unavailable;
    default:
      return EXIT_CODES.failed;
  }
}
