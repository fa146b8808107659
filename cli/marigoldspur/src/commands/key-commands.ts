import {randomBytes} from 'node:crypto';
import type {Argv} from 'yargs';
import {secretDigest} from '@marigoldspur/access';
import {EXIT_CODES, type CommandOutput} from '../command.js';

const SECRET_BYTES = 32;

/** Adds the command that generates a secret for a key file. */
export function addKeyCommands(
  parser: Argv,
  output: CommandOutput,
  onFinished: (exitCode: number) => void,
): Argv {
  return parser.command(
    'secret',
    'Generate a secret and the digest that a key file lists for it',
    args => args,
    () => {
      const secret = randomBytes(SECRET_BYTES).toString('base64url');
      output.write(`secret: ${secret}\nsha256: ${secretDigest(secret)}\n`);
      onFinished(EXIT_CODES.done);
    },
  );
}
