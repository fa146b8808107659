import {setTimeout as pause} from 'node:timers/promises';
import type {Argv} from 'yargs';
import type {Event} from '@marigoldspur/event-catalogue';
import {
  drainProcess,
  formatEvent,
  formatTable,
  readSystemStatus,
  listTargets,
  TimelineReader,
} from '@marigoldspur/operator-commands';
import {
  EXIT_CODES,
  toJson,
  unwrapOrThrow,
  type CommandContext,
  type CreateHandler,
} from '../command.js';

const FOLLOW_MS = 500;

/** Adds the commands that show the system and drain its processes. */
export function systemCommands(parser: Argv, handle: CreateHandler): Argv {
  return parser
    .command(
      'status',
      'Show every process and the settings revision it has in force',
      args => args,
      handle(async context => {
        const {rows, fault} = await readSystemStatus(context.session);
        context.write(context.flags.json ? toJson(rows) : formatTable(rows));
        if (fault !== undefined) {
          context.writeError(`members are not known: ${fault.message}\n`);
          return EXIT_CODES.unavailable;
        }
        return EXIT_CODES.done;
      }),
    )
    .command(
      'targets',
      'Show every target with its load',
      args => args,
      handle(async context => {
        const rows = unwrapOrThrow(await listTargets(context.session));
        context.write(context.flags.json ? toJson(rows) : formatTable(rows));
        return EXIT_CODES.done;
      }),
    )
    .command(
      'timeline',
      'Show the events of all processes in order',
      args =>
        args
          .option('request', {
            type: 'string',
            describe: 'Only the events of one request',
          })
          .option('follow', {
            type: 'boolean',
            default: false,
            describe: 'Go on until interrupted',
          }),
      handle(showTimeline),
    )
    .command(
      'drain <process>',
      'Shut a process down gracefully',
      args => args.positional('process', {type: 'string', demandOption: true}),
      handle(async (context, args) => {
        const url = unwrapOrThrow(
          await drainProcess(context.session, args.process),
        );
        context.write(`${args.process} at ${url} drains\n`);
        return EXIT_CODES.done;
      }),
    );
}

async function showTimeline(
  context: CommandContext,
  args: {readonly request?: string; readonly follow: boolean},
): Promise<number> {
  const reader = new TimelineReader(context.session, args.request);
  do {
    const events = unwrapOrThrow(await reader.next());
    context.write(render(events, context.flags.json));
    if (args.follow) {
      await pause(FOLLOW_MS);
    }
  } while (args.follow);
  return EXIT_CODES.done;
}

/** One event a line, for programs as JSON lines. */
function render(events: readonly Event[], asJson: boolean): string {
  return events
    .map(event => (asJson ? JSON.stringify(event) : formatEvent(event)))
    .map(line => `${line}\n`)
    .join('');
}
