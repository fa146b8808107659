import type {Argv} from 'yargs';
import {InvalidInput} from '@marigoldspur/faults';
import {
  diffTrees,
  formatTable,
  listOverriddenSettings,
  readSettings,
  readStaleSettings,
  readTreeFile,
} from '@marigoldspur/operator-commands';
import type {SettingsTree} from '@marigoldspur/settings-schema';
import {listEffectiveSettings} from '@marigoldspur/settings-tree';
import {
  EXIT_CODES,
  formatJson,
  unwrapOrThrow,
  type CommandContext,
  type CreateHandler,
} from '../command.js';
import {createEditHandler, submit} from '../submit.js';

const DEFAULT_HISTORY_LENGTH = 20;

/** Adds the commands that read and change the settings tree. */
export function addSettingsCommands(
  parser: Argv,
  createHandler: CreateHandler,
): Argv {
  return parser
    .command(
      'get [path]',
      'Show the settings in force at a path, each with the level that sets it',
      args =>
        args
          .positional('path', {type: 'string', default: '/'})
          .option('tree', {
            type: 'boolean',
            default: false,
            describe: 'Print the whole tree as JSON',
          })
          .option('stale', {
            type: 'boolean',
            default: false,
            describe:
              'Read from any single replica of control, whose settings may be stale; works without a majority',
          }),
      createHandler(getSettings),
    )
    .command(
      'set <path> <setting> <value>',
      'Override a setting at a path',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('setting', {type: 'string', demandOption: true})
          .positional('value', {type: 'string', demandOption: true}),
      createEditHandler(createHandler, ({path, setting, value}) => ({
        edit: 'set',
        path,
        setting,
        value: parseValue(value),
      })),
    )
    .command(
      'unset <path> <setting>',
      'Remove the override of a setting at a path',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('setting', {type: 'string', demandOption: true}),
      createEditHandler(createHandler, ({path, setting}) => ({
        edit: 'unset',
        path,
        setting,
      })),
    )
    .command(
      'diff <file>',
      'Show how the tree in a JSON or YAML file differs from the one in force',
      args => args.positional('file', {type: 'string', demandOption: true}),
      createHandler(diffSettings, ({file}) => loadTree(file)),
    )
    .command(
      'apply <file>',
      'Replace the tree with the one in a JSON or YAML file, as one change',
      args =>
        args
          .positional('file', {type: 'string', demandOption: true})
          .option('dry-run', {
            type: 'boolean',
            default: false,
            describe: 'Only show what would change',
          }),
      createHandler(applySettings, ({file}) => loadTree(file)),
    )
    .command(
      'history',
      'Show the latest accepted changes',
      args =>
        args.option('limit', {type: 'number', default: DEFAULT_HISTORY_LENGTH}),
      createHandler(showHistory),
    )
    .demandCommand(1, 'name a settings command');
}

async function getSettings(
  context: CommandContext,
  args: {
    readonly path: string;
    readonly tree: boolean;
    readonly stale: boolean;
  },
): Promise<number> {
  const read = args.stale ? readStaleSettings : readSettings;
  const {revision, tree} = unwrapOrThrow(await read(context.session));
  if (args.tree) {
    context.write(formatJson(tree));
    return EXIT_CODES.done;
  }
  const rows = listEffectiveSettings(tree, args.path);
  if (rows === undefined) {
    throw new InvalidInput([
      {place: 'path', reason: `${args.path} does not exist`},
    ]);
  }
  context.write(
    context.flags.json
      ? formatJson({revision, settings: rows})
      : formatTable(rows),
  );
  return EXIT_CODES.done;
}

async function diffSettings(
  context: CommandContext,
  args: {readonly file: string},
): Promise<number> {
  const newTree = await loadTree(args.file);
  const {tree} = unwrapOrThrow(await readSettings(context.session));
  const rows = diffTrees(tree, newTree);
  context.write(context.flags.json ? formatJson(rows) : formatTable(rows));
  return EXIT_CODES.done;
}

async function applySettings(
  context: CommandContext,
  args: {readonly file: string; readonly dryRun: boolean},
): Promise<number> {
  const newTree = await loadTree(args.file);
  const {tree} = unwrapOrThrow(await readSettings(context.session));
  const differences = diffTrees(tree, newTree).length;
  context.writeError(`${args.file}: ${differences} values differ\n`);
  const overridden = listOverriddenSettings(newTree);
  if (!context.flags.json) {
    context.write(formatTable(overridden));
  }
  if (args.dryRun) {
    return EXIT_CODES.done;
  }
  return submit(context, [{edit: 'replace', value: newTree}]);
}

async function showHistory(
  context: CommandContext,
  args: {readonly limit: number},
): Promise<number> {
  const {session, flags} = context;
  const changes = unwrapOrThrow(
    await session.control.call(
      (replica, signal) =>
        replica.settingsHistory.query({limit: args.limit}, {signal}),
      session.getDeadline(),
    ),
  );
  const rows = changes.map(change => ({
    revision: change.number,
    author: change.author,
    edits: change.edits.map(edit => edit.edit).join(' '),
    change: change.id,
  }));
  context.write(flags.json ? formatJson(changes) : formatTable(rows));
  return EXIT_CODES.done;
}

async function loadTree(file: string): Promise<SettingsTree> {
  const tree = await readTreeFile(file);
  if (tree.isErr) {
    throw new InvalidInput(tree.error);
  }
  return tree.value;
}

function parseValue(text: string): string | number | boolean {
  if (text === 'true' || text === 'false') {
    return text === 'true';
  }
  const number = Number(text);
  return text.trim() !== '' && Number.isFinite(number) ? number : text;
}
