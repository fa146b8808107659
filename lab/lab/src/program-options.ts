import {readFileSync} from 'node:fs';

/** Shebang line with options of Node.js. */
const SHEBANG = /^#!\/usr\/bin\/env -S node (.+)$/m;

/**
 * Reads the options of Node.js in the shebang line of a program, so that the lab starts
 * the program with the options that it is shipped with.
 */
export function readProgramOptions(file: string): string[] {
  const [line] = readFileSync(file, 'utf8').split('\n', 1);
  const options = SHEBANG.exec(line)?.[1] ?? '';
  return options.split(' ').filter(option => option !== '');
}
