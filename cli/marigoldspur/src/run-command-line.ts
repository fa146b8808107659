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
import {keyCommands} from './commands/key-commands.js';
import {settingsCommands} from './commands/settings-commands.js';
import {systemCommands} from './commands/system-commands.js';
import {treeCommands} from './commands/tree-commands.js';

/** What a command line works with. */
export interface CommandLineOptions extends CommandOutput {
  /** Environment variables; flags go before them. */
  readonly variables: NodeJS.ProcessEnv;
}

/** Runs one command of an operator; resolves to the exit code. */
export async function runCommandLine(
  args: readonly string[],
  options: CommandLineOptions,
): Promise<number> {
  let exit: number = EXIT_CODES.done;
  const handle: CreateHandler = (command, check) => async parsed => {
    const flags = readCommonFlags(parsed);
    if (flags.check) {
      await checkFiles(flags);
      await check?.(parsed);
      options.write('the input is valid\n');
      return;
    }
    const context = await openContext(flags, options);
    try {
      exit = await command(context, parsed);
    } finally {
      context.session.close();
    }
  };
  const parser = createParser(args, options.variables);
  parser.command('settings', 'Read and change the settings tree', own =>
    settingsCommands(own, handle),
  );
  treeCommands(parser, handle);
  systemCommands(parser, handle);
  keyCommands(parser, options, code => {
    exit = code;
  });
  try {
    await parser.parseAsync();
  } catch (thrown) {
    const fault = toFault(thrown);
    options.writeError(`${fault.message}\n`);
    return exitCodeOf(fault);
  }
  return exit;
}

function createParser(args: readonly string[], variables: NodeJS.ProcessEnv) {
  const parser = yargs([...args])
    .scriptName('marigoldspur')
    .usage('marigoldspur: operates the system by changing its settings tree')
    .version(VERSION);
  return addCommonFlags(parser, variables)
    .epilog(
      'Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict, 4 control out of reach, 5 not allowed',
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

async function checkFiles(flags: CommonFlags): Promise<void> {
  if (flags.ca !== undefined) {
    await readPem(flags.ca);
  }
}

function exitCodeOf(fault: Fault): number {
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
