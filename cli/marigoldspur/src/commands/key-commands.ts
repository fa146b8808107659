import {randomBytes} from 'node:crypto';
import type {Argv} from 'yargs';
import {secretDigest} from '@marigoldspur/access';
import {EXIT_CODES, type CommandOutput} from '../command.js';

const SECRET_BYTES = 32;

/** Adds the command that makes a secret for a key file. */
export function keyCommands(
  parser: Argv,
  console: CommandOutput,
  finished: (exit: number) => void,
): Argv {
  return parser.command(
    'secret',
    'Make a secret and the digest under which a key file lists it',
    args => args,
    () => {
      const secret = randomBytes(SECRET_BYTES).toString('base64url');
      console.write(`secret: ${secret}\nsha256: ${secretDigest(secret)}\n`);
      finished(EXIT_CODES.done);
    },
  );
}
