import {expect} from 'chai';
import {z} from 'zod';
import {
  LIST_SCHEMA,
  PORT_SCHEMA,
  readProcessSettings,
} from '@marigoldspur/process-settings';

const COMMAND = {
  name: 'program',
  version: '1.0.0',
  about: 'does nothing',
  schema: z.object({
    file: z.string().min(1),
    port: PORT_SCHEMA.default(0),
    peerNames: LIST_SCHEMA.optional(),
  }),
  operands: ['file'],
} as const;

function read(args: readonly string[], variables: NodeJS.ProcessEnv = {}) {
  return readProcessSettings(COMMAND, {args, variables});
}

it('settings: flags take precedence over variables', async () => {
  const variables = {
    MARIGOLDSPUR_FILE: 'variable',
    MARIGOLDSPUR_PEER_NAMES: 'a, b',
  };
  const result = await read(['--file', 'flag'], variables);
  expect(result.unwrapOr(undefined)?.settings).to.deep.equal({
    file: 'flag',
    port: 0,
    peerNames: ['a', 'b'],
  });
});

it('settings: an operand is given by its position', async () => {
  const result = await read(['named.yaml', '--port', '80']);
  const {file, port} = result.unwrapOr(undefined)?.settings ?? {};
  expect({file, port}).to.deep.equal({file: 'named.yaml', port: 80});
});

it('settings: all findings are reported together, each with flag and variable', async () => {
  const result = await read(['--port', 'x', '--colour', 'red']);
  const places = result.isErr ? result.error.map(({place}) => place) : [];
  expect(places).to.have.members([
    'command line',
    '--port (MARIGOLDSPUR_PORT)',
    '--file (MARIGOLDSPUR_FILE)',
  ]);
});

it('settings: a value that is given twice is a finding', async () => {
  const result = await read(['a', '--port', '1', '--port', '2']);
  const reasons = result.isErr ? result.error.map(({reason}) => reason) : [];
  expect(reasons).to.deep.equal(['is given more than once']);
});

it('settings: --check is passed to the program', async () => {
  const checked = await read(['a', '--check']);
  const plain = await read(['a']);
  expect(checked.unwrapOr(undefined)?.checkOnly).to.equal(true);
  expect(plain.unwrapOr(undefined)?.checkOnly).to.equal(false);
});
