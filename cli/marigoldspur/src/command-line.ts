import yargs, {type Argv} from 'yargs';
import {Fault, formatFindings, InvalidInput} from '@marigoldspur/faults';
import {
  formatEvent,
  formatTable,
  mergedTimeline,
  openSession,
  readTreeFile,
  submitChange,
  systemStatus,
  type OperatorSession,
} from '@marigoldspur/operator-commands';
import type {ChangeOutcome, Edit} from '@marigoldspur/settings-schema';
import {settingsAt} from '@marigoldspur/settings-tree';

/** What the command line works with. */
export interface CommandLineOptions {
  readonly variables: NodeJS.ProcessEnv;
  readonly write: (text: string) => void;
  readonly writeError: (text: string) => void;
}

/** Exit codes: done, failed, bad input, conflict with another change. */
const EXIT = {done: 0, failed: 1, badInput: 2, conflict: 3} as const;
const DEFAULT_TIMEOUT_MS = 10_000;

/** Runs one command of an operator; resolves to the exit code. */
export async function runCommandLine(
  args: readonly string[],
  options: CommandLineOptions,
): Promise<number> {
  let exit: number = EXIT.done;
  const run =
    (command: (session: OperatorSession, flags: Flags) => Promise<number>) =>
    async (flags: Flags) => {
      const urls = String(flags.control).split(',');
      const session = openSession(urls, {timeoutMs: Number(flags.timeoutMs)});
      try {
        exit = await command(session, flags);
      } finally {
        session.close();
      }
    };
  try {
    await commands(
      yargs([...args]).scriptName('marigoldspur'),
      options,
      run,
    ).parseAsync();
  } catch (thrown) {
    options.writeError(
      `${thrown instanceof Error ? thrown.message : thrown}\n`,
    );
    return thrown instanceof Fault && !(thrown instanceof InvalidInput)
      ? EXIT.failed
      : EXIT.badInput;
  }
  return exit;
}

type Flags = Record<string, unknown>;
type Run = (
  command: (session: OperatorSession, flags: Flags) => Promise<number>,
) => (flags: Flags) => Promise<void>;

function commands(parser: Argv, options: CommandLineOptions, run: Run): Argv {
  const {write, variables} = options;
  return parser
    .version('0.1.0')
    .option('control', {
      type: 'string',
      describe: 'Base URLs of the replicas of control [MARIGOLDSPUR_CONTROL]',
      default: variables.MARIGOLDSPUR_CONTROL ?? 'http://127.0.0.1:7100',
    })
    .option('timeout-ms', {
      type: 'number',
      describe: 'Longest time of a command, in milliseconds',
      default: DEFAULT_TIMEOUT_MS,
    })
    .option('author', {
      type: 'string',
      describe: 'Name that changes carry',
      default: variables.USER ?? 'operator',
    })
    .option('json', {type: 'boolean', describe: 'Print JSON', default: false})
    .command('settings', 'Read and change the settings tree', args =>
      settingsCommands(args, options, run),
    )
    .command(
      'status',
      'Show every process and the revision it has in force',
      args => args,
      run(async (session, flags) => {
        const rows = unwrap(await systemStatus(session));
        write(
          flags.json ? json(rows) : formatTable(rows.map(row => ({...row}))),
        );
        return EXIT.done;
      }),
    )
    .command(
      'timeline',
      'Show the events of all processes in order',
      args => args.option('request', {type: 'string'}),
      run(async (session, flags) => {
        const request = flags.request as string | undefined;
        const events = unwrap(await mergedTimeline(session, {request}));
        write(
          flags.json
            ? json(events)
            : events.map(event => `${formatEvent(event)}\n`).join(''),
        );
        return EXIT.done;
      }),
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

function settingsCommands(parser: Argv, options: CommandLineOptions, run: Run) {
  const {write} = options;
  return parser
    .command(
      'get [path]',
      'Show the settings in force at a path',
      args => args.positional('path', {type: 'string', default: '/'}),
      run(async (session, flags) => {
        const view = unwrap(
          await session.control.call(
            (replica, signal) =>
              replica.readSettings.query({fresh: true}, {signal}),
            session.deadline(),
          ),
        );
        const rows = settingsAt(view.tree, String(flags.path));
        if (rows === undefined) {
          throw new InvalidInput([{place: 'path', reason: 'does not exist'}]);
        }
        write(
          flags.json
            ? json({revision: view.revision, rows})
            : formatTable(rows.map(row => ({...row}))),
        );
        return EXIT.done;
      }),
    )
    .command(
      'apply <file>',
      'Replace the tree by the one in a JSON or YAML file',
      args => args.positional('file', {type: 'string', demandOption: true}),
      run(async (session, flags) => {
        const tree = await readTreeFile(String(flags.file));
        if (tree.isErr) {
          options.writeError(`${formatFindings(tree.error)}\n`);
          return EXIT.badInput;
        }
        return submit(
          session,
          flags,
          [{edit: 'replace', value: tree.value}],
          options,
        );
      }),
    )
    .command(
      'set <path> <setting> <value>',
      'Override a setting at a path',
      args => args,
      run((session, flags) =>
        submit(
          session,
          flags,
          [
            {
              edit: 'set',
              path: String(flags.path),
              setting: String(flags.setting),
              value: parseValue(String(flags.value)),
            },
          ],
          options,
        ),
      ),
    )
    .demandCommand(1, 'name a settings command');
}

async function submit(
  session: OperatorSession,
  flags: Flags,
  edits: readonly Edit[],
  options: CommandLineOptions,
): Promise<number> {
  const outcome = unwrap(
    await submitChange(session, edits, {author: String(flags.author)}),
  );
  options.write(flags.json ? json(outcome) : `${describe(outcome)}\n`);
  switch (outcome.outcome) {
    case 'accepted':
      return EXIT.done;
    case 'conflict':
      return EXIT.conflict;
    case 'invalid':
      return EXIT.badInput;
  }
}

function describe(outcome: ChangeOutcome): string {
  switch (outcome.outcome) {
    case 'accepted':
      return `accepted as revision ${outcome.revision}`;
    case 'conflict':
      return `conflict: revision ${outcome.revision} is in force, made by change ${outcome.winner ?? 'unknown'}`;
    case 'invalid':
      return formatFindings(outcome.findings);
  }
}

function unwrap<T>(result: {isOk: boolean; value?: T; error?: Fault}): T {
  if (!result.isOk) {
    throw result.error;
  }
  return result.value as T;
}

function parseValue(text: string): string | number | boolean {
  if (text === 'true' || text === 'false') {
    return text === 'true';
  }
  const number = Number(text);
  return text.trim() !== '' && Number.isFinite(number) ? number : text;
}

function json(value: unknown): string {
  return `${JSON.stringify(value, null, 2)}\n`;
}
