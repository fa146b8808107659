import type {Argv} from 'yargs';
import type {CreateHandler} from '../command.js';
import {editHandler} from '../submit.js';

/** Adds the commands that create and retire what the tree holds. */
export function treeCommands(parser: Argv, handle: CreateHandler): Argv {
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

function customerCommands(parser: Argv, handle: CreateHandler): Argv {
  return removeCommand(parser, handle)
    .command(
      'create <name>',
      'Create a customer',
      args => args.positional('name', {type: 'string', demandOption: true}),
      editHandler(handle, ({name}) => ({
        edit: 'create-customer',
        customer: name,
      })),
    )
    .demandCommand(1, 'name a customer command');
}

function serviceCommands(parser: Argv, handle: CreateHandler): Argv {
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
      editHandler(
        handle,
        ({path, baseModel, store, pathPrefix, healthPath}) => ({
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

function adapterCommands(parser: Argv, handle: CreateHandler): Argv {
  return removeCommand(parser, handle)
    .command(
      'create <path>',
      'Create an adapter, /customer/service/adapter',
      args => args.positional('path', {type: 'string', demandOption: true}),
      editHandler(handle, ({path}) => ({edit: 'create-adapter', path})),
    )
    .demandCommand(1, 'name an adapter command');
}

function versionCommands(parser: Argv, handle: CreateHandler): Argv {
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
      editHandler(handle, ({path, name, digest}) => ({
        edit: 'add-version',
        path,
        version: name,
        value: {digest},
      })),
    )
    .command(
      'retire <path> <name>',
      'Let a version take no new requests',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('name', {type: 'string', demandOption: true}),
      editHandler(handle, ({path, name}) => ({
        edit: 'retire-version',
        path,
        version: name,
      })),
    )
    .demandCommand(1, 'name a version command');
}

function removeCommand(parser: Argv, handle: CreateHandler): Argv {
  return parser.command(
    'remove <path>',
    'Remove a level with all below it',
    args => args.positional('path', {type: 'string', demandOption: true}),
    editHandler(handle, ({path}) => ({edit: 'remove', path})),
  );
}
