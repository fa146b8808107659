import {spawn, type ChildProcess} from 'node:child_process';
import {constants} from 'node:os';
import {createInterface} from 'node:readline';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {readProgramOptions} from './program-options.js';

/** A child process and its output. */
export interface Child {
  /** Name in error messages. */
  readonly name: string;
  readonly process: ChildProcess;
  /** Arguments of the program, without the options of Node.js. */
  readonly args: readonly string[];
  /** Start time, in milliseconds since the epoch. */
  readonly spawnedAt: number;
  /** Lines that the process wrote to standard output and standard error so far. */
  readonly lines: readonly string[];
  /**
   * Resolves to the first line, already written or not, for which `matches` is true;
   * rejects if the process exits first.
   */
  waitForLine(matches: (line: string) => boolean): Promise<string>;
  /** Resolves to the exit code, or to the name of the signal that terminated the process. */
  readonly ended: Promise<number | string>;
  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void;
}

const runningChildren = new Set<ChildProcess>();

/** Kills all children when this process exits, even if it fails while it starts a system. */
process.on('exit', () =>
  runningChildren.forEach(child => child.kill('SIGKILL')),
);

/** When a signal terminates a process, shells report 128 plus the signal number as exit code. */
const SIGNAL_EXIT_CODE_BASE = 128;
let hasSignalHandlers = false;

/**
 * Exits on signals; the default action would skip the exit handlers and leave the
 * children running.
 */
function exitOnSignals(): void {
  if (hasSignalHandlers) {
    return;
  }
  hasSignalHandlers = true;
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    const code = SIGNAL_EXIT_CODE_BASE + constants.signals[signal];
    process.once(signal, () => process.exit(code));
  }
}

/**
 * Starts the program of a workspace package, its `main.js`, as a child process.
 * `variables` are added to the environment of this process.
 */
export function startChild(
  name: string,
  packageName: string,
  args: readonly string[],
  variables: NodeJS.ProcessEnv = {},
): Child {
  exitOnSignals();
  const index = fileURLToPath(import.meta.resolve(packageName));
  const main = index.replace(/index\.js$/, 'main.js');
  const spawnedAt = Date.now();
  const options = [...readProgramOptions(main), ...readExtraNodeOptions()];
  const child = spawn(process.execPath, [...options, main, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {...process.env, ...variables},
  });
  runningChildren.add(child);
  child.on('exit', () => runningChildren.delete(child));
  const lines: string[] = [];
  const listeners = new Set<(line: string) => void>();
  const handleLine = (line: string) => {
    lines.push(line);
    listeners.forEach(listener => listener(line));
  };
  for (const input of [child.stdout!, child.stderr!]) {
    createInterface({input}).on('line', handleLine);
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
    waitForLine: matches =>
      new Promise((resolve, reject) => {
        const existingLine = lines.find(matches);
        if (existingLine !== undefined) {
          resolve(existingLine);
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

/** Delay between the first SIGTERM, which stops a process gracefully, and the second, which stops it immediately. */
const SECOND_SIGNAL_DELAY_MS = 500;

/**
 * Stops children immediately. Children with extra options of Node.js get SIGTERM twice
 * instead of SIGKILL, so that they can write their output, such as a CPU profile.
 */
export async function stopChildren(children: readonly Child[]): Promise<void> {
  if (readExtraNodeOptions().length > 0) {
    children.forEach(child => child.signal('SIGTERM'));
    await pause(SECOND_SIGNAL_DELAY_MS);
    children.forEach(child => child.signal('SIGTERM'));
  } else {
    children.forEach(child => child.signal('SIGKILL'));
  }
  await Promise.all(children.map(child => child.ended));
}

/**
 * Reads the extra options of Node.js for each child, such as `--cpu-prof`, from an
 * environment variable in which spaces separate them.
 */
function readExtraNodeOptions(): string[] {
  const text = process.env.MARIGOLDSPUR_LAB_NODE_OPTIONS ?? '';
  return text.split(' ').filter(option => option !== '');
}
