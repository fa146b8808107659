import yargs from 'yargs';
import {VERSION} from '@marigoldspur/process-settings';
import {JOB_COMMANDS} from './commands/job-commands.js';
import {STAND_IN_COMMANDS} from './commands/stand-in-commands.js';

const EXIT_USAGE_ERROR = 2;

/** A command of `marigoldspur-lab`. */
export interface LabCommand {
  readonly name: string;
  /** One-sentence description for `--help`. */
  readonly about: string;
  /** Runs the command with the arguments after its name. */
  run(args: readonly string[]): Promise<void>;
}

/** Runs the command that the first argument names. */
export async function runLab(args: readonly string[]): Promise<void> {
  const commands = [...STAND_IN_COMMANDS, ...JOB_COMMANDS];
  const [name, ...rest] = args;
  const command = commands.find(candidate => candidate.name === name);
  if (command !== undefined) {
    await command.run(rest);
    return;
  }
  await printHelp(commands, args);
}

/** Handles `--help` and `--version`; reports anything else as an unknown command. */
async function printHelp(
  commands: readonly LabCommand[],
  args: readonly string[],
): Promise<void> {
  const parser = yargs([...args])
    .scriptName('marigoldspur-lab')
    .usage('marigoldspur-lab: stand-ins, demonstration, load and experiments')
    .version(VERSION)
    .demandCommand(1, 'name a command')
    .strict()
    .fail(message => {
      process.stderr.write(`command line: ${message}\n`);
      process.exitCode = EXIT_USAGE_ERROR;
    });
  commands.forEach(({name, about}) => parser.command(name, about));
  await parser.parseAsync();
}
