import type {Argv} from 'yargs';
import type {CreateHandler} from '../command.js';
import {createEditHandler} from '../submit.js';

/** Adds the commands that create, remove and retire parts of the settings tree. */
export function addTreeCommands(
  parser: Argv,
  createHandler: CreateHandler,
): Argv {
  return parser
    .command('customer', 'Create or remove a customer', args =>
      addCustomerCommands(args, createHandler),
    )
    .command('service', 'Create or remove a service', args =>
      addServiceCommands(args, createHandler),
    )
    .command('adapter', 'Create or remove an adapter', args =>
      addAdapterCommands(args, createHandler),
    )
    .command('version', 'Add or retire a version of an adapter', args =>
      addVersionCommands(args, createHandler),
    );
}

function addCustomerCommands(parser: Argv, createHandler: CreateHandler): Argv {
  return addRemoveCommand(parser, createHandler)
    .command(
      'create <name>',
      'Create a customer',
      args => args.positional('name', {type: 'string', demandOption: true}),
      createEditHandler(createHandler, ({name}) => ({
        edit: 'create-customer',
        customer: name,
      })),
    )
    .demandCommand(1, 'name a customer command');
}

function addServiceCommands(parser: Argv, createHandler: CreateHandler): Argv {
  return addRemoveCommand(parser, createHandler)
    .command(
      'create <path>',
      'Create a service at /customer/service',
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
            describe: 'Path prefix of a plain service',
          })
          .option('health-path', {
            type: 'string',
            implies: 'path-prefix',
            describe:
              'Health check path of a plain service; a healthy target responds with status 2xx',
          })
          .conflicts('path-prefix', ['base-model', 'store']),
      createEditHandler(
        createHandler,
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

function addAdapterCommands(parser: Argv, createHandler: CreateHandler): Argv {
  return addRemoveCommand(parser, createHandler)
    .command(
      'create <path>',
      'Create an adapter at /customer/service/adapter',
      args => args.positional('path', {type: 'string', demandOption: true}),
      createEditHandler(createHandler, ({path}) => ({
        edit: 'create-adapter',
        path,
      })),
    )
    .demandCommand(1, 'name an adapter command');
}

function addVersionCommands(parser: Argv, createHandler: CreateHandler): Argv {
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
      createEditHandler(createHandler, ({path, name, digest}) => ({
        edit: 'add-version',
        path,
        version: name,
        value: {digest},
      })),
    )
    .command(
      'retire <path> <name>',
      'Retire a version, so that it accepts no new requests',
      args =>
        args
          .positional('path', {type: 'string', demandOption: true})
          .positional('name', {type: 'string', demandOption: true}),
      createEditHandler(createHandler, ({path, name}) => ({
        edit: 'retire-version',
        path,
        version: name,
      })),
    )
    .demandCommand(1, 'name a version command');
}

function addRemoveCommand(parser: Argv, createHandler: CreateHandler): Argv {
  return parser.command(
    'remove <path>',
    'Remove a level with everything below it',
    args => args.positional('path', {type: 'string', demandOption: true}),
    createEditHandler(createHandler, ({path}) => ({edit: 'remove', path})),
  );
}
