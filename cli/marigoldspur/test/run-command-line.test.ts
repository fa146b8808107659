import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {findFreePorts, startChild, type Child} from '@marigoldspur/lab';
import {EXIT_CODES, runCommandLine} from 'marigoldspur';

let folder: string;
let control: Child;
let url: string;

interface Run {
  readonly exit: number;
  readonly output: string;
  readonly errors: string;
}

async function run(...args: string[]): Promise<Run> {
  let output = '';
  let errors = '';
  const exit = await runCommandLine(args, {
    variables: {MARIGOLDSPUR_CONTROL: url},
    write: text => (output += text),
    writeError: text => (errors += text),
  });
  return {exit, output, errors};
}

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-cli-'));
  const [port] = await findFreePorts(1);
  url = `http://127.0.0.1:${port}`;
  control = startChild('control-0', '@marigoldspur/control-server', [
    ...['--id', 'control-0'],
    ...['--zone', 'lima-a'],
    ...['--port', String(port)],
    ...['--peers', url],
    ...['--data-folder', path.join(folder, 'control-0')],
    ...['--bootstrap', 'true'],
  ]);
  await control.waitForLine(line => line.includes('"process-started"'));
});

after(async () => {
  control.signal('SIGKILL');
  await control.ended;
  await rm(folder, {recursive: true});
});

it('cli: commands build up a settings tree', async () => {
  expect((await run('customer', 'create', 'callao')).exit).to.equal(
    EXIT_CODES.done,
  );
  const service = await run(
    ...['service', 'create', '/callao/lm-desk'],
    ...['--base-model', 'base-8b'],
  );
  expect(service.output).to.equal('accepted as revision 2\n');
  await run('adapter', 'create', '/callao/lm-desk/recap');
  await run('version', 'add', '/callao/lm-desk/recap', 'v1', '--digest', 'd1');
  const retired = await run('version', 'retire', '/callao/lm-desk/recap', 'v1');
  expect(retired.output).to.equal('accepted as revision 5\n');
  const {output} = await run('settings', 'get', '--tree');
  expect(JSON.parse(output).customers.callao.services['lm-desk']).to.deep.equal(
    {
      kind: 'model',
      baseModel: 'base-8b',
      store: 'store',
      settings: {},
      adapters: {
        recap: {settings: {}, versions: {v1: {digest: 'd1', retired: true}}},
      },
    },
  );
});

it('cli: get shows the level that sets a setting', async () => {
  await run('settings', 'set', '/callao', 'priority', '2');
  const {output} = await run('settings', 'get', '/callao/lm-desk');
  expect(output).to.match(/^priority +2 +\/callao$/m);
  expect(output).to.match(/^repeatable +true +default$/m);
  await run('settings', 'unset', '/callao', 'priority');
  const after = await run('settings', 'get', '/callao/lm-desk');
  expect(after.output).to.match(/^priority +5 +default$/m);
});

it('cli: a revision number that is already taken is a conflict', async () => {
  const taken = await run('customer', 'create', 'late', '--number', '1');
  expect(taken.exit).to.equal(EXIT_CODES.conflict);
  expect(taken.output).to.match(
    /^conflict: .* taken by change [0-9a-f-]{36}$/m,
  );
});

it('cli: all findings of a file are reported together', async () => {
  const file = path.join(folder, 'bad.yaml');
  await writeFile(
    file,
    'settings: {priority: 70, colour: red}\ncustomers: {Bad: {}}\n',
  );
  const {exit, errors} = await run('settings', 'apply', file);
  expect(exit).to.equal(EXIT_CODES.badInput);
  expect(errors).to.match(/settings\.priority/);
  expect(errors).to.match(/colour/);
  expect(errors).to.match(/customers\.Bad/);
});

it('cli: diff and apply compare and replace the tree with a file', async () => {
  const file = path.join(folder, 'tree.yaml');
  await writeFile(
    file,
    [
      'settings: {priority: 4}',
      'customers:',
      '  fretwell:',
      '    services:',
      '      rental-desk: {kind: plain, pathPrefix: rental-desk}',
    ].join('\n'),
  );
  const diff = await run('settings', 'diff', file);
  expect(diff.output).to.match(/^\/ +priority +4$/m);
  expect(diff.output).to.match(/^\/callao\/lm-desk +baseModel +base-8b$/m);
  const dry = await run('settings', 'apply', file, '--dry-run');
  expect(dry.output).to.match(/^\/fretwell\/rental-desk +priority +4 +\/$/m);
  const applied = await run('settings', 'apply', file, '--wait');
  expect(applied.exit).to.equal(EXIT_CODES.done);
  expect(applied.errors).to.match(/in force in 1 of 1 processes/);
  expect((await run('settings', 'diff', file)).output).to.equal('(none)\n');
});

it('cli: history, status and timeline show the state of the system', async () => {
  const history = await run('settings', 'history', '--limit', '1', '--json');
  expect(JSON.parse(history.output)[0].edits[0].edit).to.equal('replace');
  const status = await run('status');
  expect(status.output).to.match(/^control-0 +control +lima-a/m);
  const timeline = await run('timeline');
  expect(timeline.output).to.match(/ 200 change-accepted /);
});

it('cli: bad input has its own exit code', async () => {
  expect((await run('customer', 'create', 'Bad Name')).exit).to.equal(
    EXIT_CODES.badInput,
  );
  expect((await run('nonsense')).exit).to.equal(EXIT_CODES.badInput);
  expect((await run('status', '--control', 'nowhere')).exit).to.equal(
    EXIT_CODES.badInput,
  );
  expect((await run('settings', 'get', '/nobody')).exit).to.equal(
    EXIT_CODES.badInput,
  );
});

it('cli: all findings of flags are reported together, each with flag and variable', async () => {
  const {exit, errors} = await run(
    ...['status', '--control', 'nowhere', '--timeout-ms', 'soon'],
  );
  expect(exit).to.equal(EXIT_CODES.badInput);
  expect(errors).to.contain('--control (MARIGOLDSPUR_CONTROL)');
  expect(errors).to.contain('--timeout-ms (MARIGOLDSPUR_TIMEOUT_MS)');
});

it('cli: --check changes nothing and opens no connection', async () => {
  const unreachable = ['--control', 'http://127.0.0.1:1', '--check'];
  const good = await run('customer', 'create', 'checked', ...unreachable);
  expect(good).to.include({
    exit: EXIT_CODES.done,
    output: 'the input is valid\n',
  });
  const bad = await run('customer', 'create', 'Bad Name', ...unreachable);
  expect(bad.exit).to.equal(EXIT_CODES.badInput);
  const noFile = await run('settings', 'apply', 'no-such-file', ...unreachable);
  expect(noFile.exit).to.equal(EXIT_CODES.badInput);
  const noCa = await run('status', '--ca', 'no-such-file', ...unreachable);
  expect(noCa.exit).to.equal(EXIT_CODES.badInput);
  const {output} = await run('settings', 'get', '--tree');
  expect(output).not.to.contain('checked');
});

it('cli: unreachable control has its own exit code', async () => {
  const [port] = await findFreePorts(1);
  const {exit} = await run(
    ...['status', '--control', `http://127.0.0.1:${port}`],
    ...['--timeout-ms', '300'],
  );
  expect(exit).to.equal(EXIT_CODES.unavailable);
});

it('cli: drain shuts a process down gracefully', async () => {
  expect((await run('targets')).output).to.equal('(none)\n');
  expect((await run('drain', 'nobody')).exit).to.equal(EXIT_CODES.failed);
  const drained = await run('drain', 'control-0');
  expect(drained.output).to.match(/^control-0 at .* is draining$/m);
  expect(await control.ended).to.equal(0);
});
