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
  formatJson,
  unwrapOrThrow,
  type CommandContext,
  type CreateHandler,
} from '../command.js';

const FOLLOW_INTERVAL_MS = 500;

/** Adds the commands that show the system and drain its processes. */
export function addSystemCommands(
  parser: Argv,
  createHandler: CreateHandler,
): Argv {
  return parser
    .command(
      'status',
      'Show every process and the settings revision it has in force',
      args => args,
      createHandler(async context => {
        const {rows, fault} = await readSystemStatus(context.session);
        context.write(
          context.flags.json ? formatJson(rows) : formatTable(rows),
        );
        if (fault !== undefined) {
          context.writeError(
            `could not read the members of the system: ${fault.message}\n`,
          );
          return EXIT_CODES.unavailable;
        }
        return EXIT_CODES.done;
      }),
    )
    .command(
      'targets',
      'Show every target with its load',
      args => args,
      createHandler(async context => {
        const rows = unwrapOrThrow(await listTargets(context.session));
        context.write(
          context.flags.json ? formatJson(rows) : formatTable(rows),
        );
        return EXIT_CODES.done;
      }),
    )
    .command(
      'timeline',
      'Show the events of all processes in time order',
      args =>
        args
          .option('request', {
            type: 'string',
            describe: 'Only the events of one request',
          })
          .option('follow', {
            type: 'boolean',
            default: false,
            describe: 'Continue until interrupted',
          }),
      createHandler(showTimeline),
    )
    .command(
      'drain <process>',
      'Shut a process down gracefully',
      args => args.positional('process', {type: 'string', demandOption: true}),
      createHandler(async (context, args) => {
        const url = unwrapOrThrow(
          await drainProcess(context.session, args.process),
        );
        context.write(`${args.process} at ${url} is draining\n`);
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
    const events = unwrapOrThrow(await reader.readNext());
    context.write(formatEvents(events, context.flags.json));
    if (args.follow) {
      await pause(FOLLOW_INTERVAL_MS);
    }
  } while (args.follow);
  return EXIT_CODES.done;
}

/** Formats one event per line, as JSON lines if `asJson` is true. */
function formatEvents(events: readonly Event[], asJson: boolean): string {
  return events
    .map(event => (asJson ? JSON.stringify(event) : formatEvent(event)))
    .map(line => `${line}\n`)
    .join('');
}
