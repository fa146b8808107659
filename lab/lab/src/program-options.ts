import {readFileSync} from 'node:fs';

/** The first line of a program that names options of Node.js. */
const FIRST_LINE = /^#!\/usr\/bin\/env -S node (.+)$/m;

/** The options of Node.js that a program's first line gives, so that the lab starts it as it ships. */
export function programOptions(file: string): string[] {
  const [line] = readFileSync(file, 'utf8').split('\n', 1);
  const options = FIRST_LINE.exec(line)?.[1] ?? '';
  return options.split(' ').filter(option => option !== '');
}
