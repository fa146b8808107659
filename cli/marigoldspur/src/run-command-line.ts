import yargs, {type Argv} from 'yargs';
import {InvalidInput, toFault, type Fault} from '@marigoldspur/faults';
import {VERSION} from '@marigoldspur/process-settings';
import {EXIT, openContext, type Console, type Handle} from './command.js';
import {keyCommands} from './commands/key-commands.js';
import {settingsCommands} from './commands/settings-commands.js';
import {systemCommands} from './commands/system-commands.js';
import {treeCommands} from './commands/tree-commands.js';

const DEFAULT_CONTROL = 'http://127.0.0.1:7100';
const DEFAULT_TIMEOUT_MS = 10_000;

/** What a command line works with. */
export interface CommandLineOptions extends Console {
  /** Environment variables; flags go before them. */
  readonly variables: NodeJS.ProcessEnv;
}

/** Runs one command of an operator; resolves to the exit code. */
export async function runCommandLine(
  args: readonly string[],
  options: CommandLineOptions,
): Promise<number> {
  let exit: number = EXIT.done;
  const handle: Handle = command => async parsed => {
    const context = await openContext(parsed, options);
    try {
      exit = await command(context, parsed);
    } finally {
      context.session.close();
    }
  };
  const parser = commonFlags(
    yargs([...args]).scriptName('marigoldspur'),
    options.variables,
  );
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

function commonFlags(parser: Argv, variables: NodeJS.ProcessEnv): Argv {
  return parser
    .usage('marigoldspur: operates the system by changing its settings tree')
    .version(VERSION)
    .option('control', {
      type: 'string',
      describe:
        'Base URLs of the replicas of control, separated by commas [MARIGOLDSPUR_CONTROL]',
      default: variables.MARIGOLDSPUR_CONTROL ?? DEFAULT_CONTROL,
    })
    .option('ca', {
      type: 'string',
      describe:
        'Certificate authority of the system, PEM file [MARIGOLDSPUR_CA]',
      default: variables.MARIGOLDSPUR_CA,
    })
    .option('token', {
      type: 'string',
      describe: 'Token of the operator [MARIGOLDSPUR_TOKEN]',
      default: variables.MARIGOLDSPUR_TOKEN,
      defaultDescription: 'none',
    })
    .option('timeout-ms', {
      type: 'number',
      describe: 'Longest time of a command, in milliseconds',
      default: DEFAULT_TIMEOUT_MS,
    })
    .option('author', {
      type: 'string',
      describe: 'Name that changes carry where no token names the operator',
      default: 'operator',
    })
    .option('number', {
      type: 'number',
      describe: 'Revision that a change makes; the next one by default',
    })
    .option('wait', {
      type: 'boolean',
      default: false,
      describe: 'Wait until a change is in force everywhere',
    })
    .option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print JSON for programs',
    })
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

function exitCodeOf(fault: Fault): number {
  switch (fault.code) {
    case 'INVALID_INPUT':
      return EXIT.badInput;
    case 'CONFLICT':
      return EXIT.conflict;
    case 'FORBIDDEN':
      return EXIT.forbidden;
    case 'UNAVAILABLE':
    case 'NO_QUORUM':
    case 'NOT_LEADER':
    case 'TIMEOUT':
      return EXIT.unavailable;
    default:
      return EXIT.failed;
  }
}
