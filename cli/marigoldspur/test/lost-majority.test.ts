import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {expect} from 'chai';
import {waitUntilAllReplicasAreVoters} from '@marigoldspur/linearizability-check';
import {findFreePorts, startChild, type Child} from '@marigoldspur/lab';
import {EXIT_CODES, runCommandLine} from 'marigoldspur';

const REPLICA_COUNT = 3;
const POLL_INTERVAL_MS = 50;

let folder: string;
let urls: string[];
let replicas: Child[];

async function run(...args: string[]) {
  let output = '';
  let errors = '';
  const exit = await runCommandLine(args, {
    variables: {MARIGOLDSPUR_CONTROL: urls.join(',')},
    write: text => (output += text),
    writeError: text => (errors += text),
  });
  return {exit, output, errors};
}

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-cli-'));
  const ports = await findFreePorts(REPLICA_COUNT);
  urls = ports.map(port => `http://127.0.0.1:${port}`);
  replicas = ports.map((port, index) =>
    startChild(`control-${index}`, '@marigoldspur/control-server', [
      ...['--id', `control-${index}`, '--zone', `zone-${index}`],
      ...['--port', String(port), '--peers', urls.join(',')],
      ...['--data-folder', path.join(folder, `control-${index}`)],
      ...['--bootstrap', 'true'],
    ]),
  );
  await Promise.all(
    replicas.map(replica =>
      replica.waitForLine(line => line.includes('process-started')),
    ),
  );
  const created = await run('customer', 'create', 'callao', '--wait');
  expect(created.exit).to.equal(EXIT_CODES.done);
  await waitUntilAllReplicasAreVoters(urls);
  replicas.slice(1).forEach(replica => replica.signal('SIGKILL'));
  await Promise.all(replicas.slice(1).map(replica => replica.ended));
  while ((await run('status')).exit === EXIT_CODES.done) {
    await pause(POLL_INTERVAL_MS);
  }
});

after(async () => {
  replicas.forEach(replica => replica.signal('SIGKILL'));
  await Promise.all(replicas.map(replica => replica.ended));
  await rm(folder, {recursive: true});
});

it('lost majority: status lists only the replicas of control and prints the reason', async () => {
  const {exit, output, errors} = await run('status');
  expect(exit).to.equal(EXIT_CODES.unavailable);
  expect(output).to.match(/^control-0 +control +zone-0/m);
  expect(output.match(/unreachable/g)).to.have.length(REPLICA_COUNT - 1);
  expect(errors).to.contain('no replica of control answered as leader');
  urls.slice(1).forEach(url => expect(errors).to.contain(`${url} connect`));
});

it('lost majority: --stale reads the settings from the remaining replica', async () => {
  const fresh = await run('settings', 'get', '--timeout-ms', '500');
  expect(fresh.exit).to.equal(EXIT_CODES.unavailable);
  const stale = await run('settings', 'get', '--tree', '--stale');
  expect(stale.exit).to.equal(EXIT_CODES.done);
  expect(JSON.parse(stale.output).customers).to.have.property('callao');
});

it('lost majority: a change fails with the reason and has no effect', async () => {
  const change = await run(
    'customer',
    'create',
    'fretwell',
    '--timeout-ms',
    '500',
  );
  expect(change.exit).to.equal(EXIT_CODES.unavailable);
  expect(change.errors).to.contain('no replica of control answered as leader');
  const {output} = await run('settings', 'get', '--tree', '--stale');
  expect(output).not.to.contain('fretwell');
});
