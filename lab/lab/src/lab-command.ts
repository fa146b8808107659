import yargs from 'yargs';
import {VERSION} from '@marigoldspur/process-settings';
import {JOB_COMMANDS} from './commands/job-commands.js';
import {STAND_IN_COMMANDS} from './commands/stand-in-commands.js';

const EXIT_BAD_COMMAND = 2;

/** A command of the lab. */
export interface LabCommand {
  readonly name: string;
  /** One sentence for `--help`. */
  readonly about: string;
  /** Runs it with what follows its name on the command line. */
  run(args: readonly string[]): Promise<void>;
}

/** Runs one command of the lab. */
export async function runLab(args: readonly string[]): Promise<void> {
  const commands = [...STAND_IN_COMMANDS, ...JOB_COMMANDS];
  const [name, ...rest] = args;
  const command = commands.find(each => each.name === name);
  if (command !== undefined) {
    await command.run(rest);
    return;
  }
  await explain(commands, args);
}

/** Answers `--help` and `--version`; anything else is an unknown command. */
async function explain(
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
      process.exitCode = EXIT_BAD_COMMAND;
    });
  commands.forEach(({name, about}) => parser.command(name, about));
  await parser.parseAsync();
}
