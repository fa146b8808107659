import type {Argv} from 'yargs';
import {InvalidInput, schemaFindings} from '@marigoldspur/faults';
import {EDIT_SCHEMA} from '@marigoldspur/settings-schema';
import type {CommandContext, Handle} from '../command.js';
import {submit} from '../submit.js';

/** Adds the commands that create and retire what the tree holds. */
export function treeCommands(parser: Argv, handle: Handle): Argv {
  return parser
    .command('customer', 'Create or remove a customer', args =>
      customerCommands(args, handle),
    )
    .command('service', 'Create or remove a service', args =>
      serviceCommands(args, handle),
    )
    .command('adapter', 'Create or remove an adapter', args =>
      adapterCommands(args, handle),
    )
    .command('version', 'Add or retire a version of an adapter', args =>
      versionCommands(args, handle),
    );
}

function customerCommands(parser: Argv, handle: Handle): Argv {
  return removeCommand(parser, handle)
    .command(
      'create <name>',
      'Create a customer',
      args => args.positional('name', {type: 'string', demandOption: true}),
      handle((context, {name}) =>
        edit(context, {edit: 'create-customer', customer: name}),
      ),
    )
    .demandCommand(1, 'name a customer command');
}

function serviceCommands(parser: Argv, handle: Handle): Argv {
  return removeCommand(parser, handle)
    .command(
      'create <path>',
      'Create a service, /customer/service',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .option('base-model', {
            type: 'string',
            describe: 'Base model of a model service',
          })
          .option('store', {
            type: 'string',
            describe: 'Weight store of a model service',
          })
          .option('path-prefix', {
            type: 'string',
            describe: 'Path of a plain service',
          })
          .option('health-path', {
            type: 'string',
            implies: 'path-prefix',
            describe:
              'Path on the targets of a plain service that answers 2xx while they serve',
          })
          .conflicts('path-prefix', ['base-model', 'store']),
      handle((context, {path, baseModel, store, pathPrefix, healthPath}) =>
        edit(context, {
          edit: 'create-service',
          path,
          value:
            pathPrefix === undefined
              ? {kind: 'model', baseModel, store}
              : {kind: 'plain', pathPrefix, healthPath},
        }),
      ),
    )
    .demandCommand(1, 'name a service command');
}

function adapterCommands(parser: Argv, handle: Handle): Argv {
  return removeCommand(parser, handle)
    .command(
      'create <path>',
      'Create an adapter, /customer/service/adapter',
      args => args.positional('path', {type: 'string', demandOption: true}),
      handle((context, {path}) =>
        edit(context, {edit: 'create-adapter', path}),
      ),
    )
    .demandCommand(1, 'name an adapter command');
}

function versionCommands(parser: Argv, handle: Handle): Argv {
  return parser
    .command(
      'add <path> <name>',
      'Add a version to an adapter',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('name', {type: 'string', demandOption: true})
          .option('digest', {
            type: 'string',
            demandOption: true,
            describe: 'Digest of the weights',
          }),
      handle((context, {path, name, digest}) =>
        edit(context, {
          edit: 'add-version',
          path,
          version: name,
          value: {digest},
        }),
      ),
    )
    .command(
      'retire <path> <name>',
      'Let a version take no new requests',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('name', {type: 'string', demandOption: true}),
      handle((context, {path, name}) =>
        edit(context, {edit: 'retire-version', path, version: name}),
      ),
    )
    .demandCommand(1, 'name a version command');
}

function removeCommand(parser: Argv, handle: Handle): Argv {
  return parser.command(
    'remove <path>',
    'Remove a level with all below it',
    args => args.positional('path', {type: 'string', demandOption: true}),
    handle((context, {path}) => edit(context, {edit: 'remove', path})),
  );
}

/** Checks an edit here, so that findings name the arguments, and submits it. */
function edit(context: CommandContext, value: object): Promise<number> {
  const parsed = EDIT_SCHEMA.safeParse(value);
  if (!parsed.success) {
    throw new InvalidInput(schemaFindings(parsed.error));
  }
  return submit(context, [parsed.data]);
}
