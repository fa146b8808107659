import {spawn, type ChildProcess} from 'node:child_process';
import {constants} from 'node:os';
import {createInterface} from 'node:readline';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {programOptions} from './program-options.js';

/** A child process with the events that it logged. */
export interface Child {
  readonly name: string;
  readonly process: ChildProcess;
  /** The program's own arguments, without those of Node.js. */
  readonly args: readonly string[];
  /** When it was started, in milliseconds since the epoch. */
  readonly spawnedAt: number;
  /** Lines of the process's standard error. */
  readonly lines: readonly string[];
  /** Resolves with the first line, past or to come, that `matches`; rejects when the process ends first. */
  line(matches: (line: string) => boolean): Promise<string>;
  /** Resolves to the exit code, or to the name of the signal that ended it. */
  readonly ended: Promise<number | string>;
  signal(signal: NodeJS.Signals): void;
}

const running = new Set<ChildProcess>();

/** A lab that fails while it starts a system leaves no process behind. */
process.on('exit', () => running.forEach(child => child.kill('SIGKILL')));

/** What a shell adds to the number of the signal that ended a process. */
const SIGNAL_EXIT_CODE = 128;
let endsOnSignals = false;

/** Without it a signal would end the lab without its exit handlers, and leave its children. */
function endOnSignals(): void {
  if (endsOnSignals) {
    return;
  }
  endsOnSignals = true;
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    const code = SIGNAL_EXIT_CODE + constants.signals[signal];
    process.once(signal, () => process.exit(code));
  }
}

/** Starts a program of the workspace by its package, as a child of the lab. */
export function startChild(
  name: string,
  packageName: string,
  args: readonly string[],
  variables: NodeJS.ProcessEnv = {},
): Child {
  endOnSignals();
  const index = fileURLToPath(import.meta.resolve(packageName));
  const main = index.replace(/index\.js$/, 'main.js');
  const spawnedAt = Date.now();
  const options = [...programOptions(main), ...nodeOptions()];
  const child = spawn(process.execPath, [...options, main, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...variables},
  });
  running.add(child);
  child.on('exit', () => running.delete(child));
  const lines: string[] = [];
  const listeners = new Set<(line: string) => void>();
  const take = (line: string) => {
    lines.push(line);
    listeners.forEach(listener => listener(line));
  };
  for (const input of [child.stdout!, child.stderr!]) {
    createInterface({input}).on('line', take);
  }
  const ended = new Promise<number | string>(resolve => {
    child.on('close', (code, signal) => resolve(code ?? signal ?? 'unknown'));
  });
  return {
    name,
    process: child,
    args,
    spawnedAt,
    lines,
    ended,
    signal: signal => void child.kill(signal),
    line: matches =>
      new Promise((resolve, reject) => {
        const known = lines.find(matches);
        if (known !== undefined) {
          resolve(known);
          return;
        }
        const listener = (line: string) => {
          if (matches(line)) {
            listeners.delete(listener);
            resolve(line);
          }
        };
        listeners.add(listener);
        void ended.then(end =>
          reject(new Error(`${name} ended with ${end}: ${lines.join('\n')}`)),
        );
      }),
  };
}

/** Time between the signal that ends a process gracefully and the one that ends it at once, in milliseconds. */
const SECOND_SIGNAL_MS = 500;

/**
 * Ends children at once. Those that were given further options of Node.js end by
 * themselves, so that they write what these ask for, as a profile.
 */
export async function endChildren(children: readonly Child[]): Promise<void> {
  if (nodeOptions().length > 0) {
    children.forEach(child => child.signal('SIGTERM'));
    await pause(SECOND_SIGNAL_MS);
    children.forEach(child => child.signal('SIGTERM'));
  } else {
    children.forEach(child => child.signal('SIGKILL'));
  }
  await Promise.all(children.map(child => child.ended));
}

/** Further options of Node.js for each child, as `--cpu-prof`, separated by spaces. */
function nodeOptions(): string[] {
  const text = process.env.MARIGOLDSPUR_LAB_NODE_OPTIONS ?? '';
  return text.split(' ').filter(option => option !== '');
}
