import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {secretDigest} from '@marigoldspur/access';
import {
  createDeploymentTree,
  startSystem,
  type System,
  type SystemKeys,
} from '@marigoldspur/lab';
import {openSession, submitChange} from '@marigoldspur/operator-commands';
import {createCertificateAuthority} from '@marigoldspur/test-certificates';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 1},
    {service: 'chart-api', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;
const TIMEOUT_MS = 20_000;

let folder: string;
let keys: SystemKeys;
let system: System;

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-secured-'));
  keys = await createKeys();
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 3),
    controls: 3,
    entries: 1,
    keys,
  });
  await system.waitUntilSettled();
});

after(async () => {
  await system?.stop();
  await rm(folder, {recursive: true});
});

async function writeKeyFile(name: string, text: string): Promise<string> {
  const file = path.join(folder, name);
  await writeFile(file, text);
  return file;
}

async function createKeys(): Promise<SystemKeys> {
  const authority = createCertificateAuthority();
  const pair = authority.issue('process');
  const tokens = [
    {name: 'ana', role: 'operator', sha256: secretDigest('change')},
    {name: 'bo', role: 'viewer', sha256: secretDigest('view')},
  ];
  const callers = [{customer: 'callao', sha256: secretDigest('caller')}];
  return {
    processFlags: [
      ...['--tls-ca', await writeKeyFile('ca.crt', authority.ca)],
      ...['--tls-cert', await writeKeyFile('process.crt', pair.cert)],
      ...['--tls-key', await writeKeyFile('process.key', pair.key)],
      ...[
        '--operator-tokens',
        await writeKeyFile('tokens', JSON.stringify({tokens})),
      ],
    ],
    entryFlags: [
      ...[
        '--caller-keys',
        await writeKeyFile('keys', JSON.stringify({keys: callers})),
      ],
    ],
    ca: authority.ca,
    token: 'change',
  };
}

function complete(authorization: string): Promise<Response> {
  return fetch(`${system.balancerUrl}/v1/completions`, {
    method: 'POST',
    headers: {authorization},
    body: JSON.stringify({model: 'callao-0@v1', prompt: 'recap'}),
  });
}

it('secured path: a caller with a valid key is served over mutual TLS', async () => {
  const response = await complete('Bearer caller');
  expect(response.status).to.equal(200);
  expect(await response.json()).to.include({model: 'callao-0@v1'});
});

it('secured path: a call that must not be repeated is served over mutual TLS', async () => {
  const response = await fetch(`${system.balancerUrl}/chart-api/indication`, {
    method: 'POST',
    headers: {authorization: 'Bearer caller', 'idempotency-key': 'key-1'},
    body: 'tonnes=50000',
  });
  expect(response.status).to.equal(200);
});

it('secured path: a caller with an unknown key is rejected', async () => {
  expect((await complete('Bearer wrong')).status).to.equal(401);
});

it('secured path: a viewer can read but not change settings', async () => {
  const session = openSession(system.controlUrls, {
    timeoutMs: TIMEOUT_MS,
    ca: keys.ca,
    token: 'view',
  });
  const changed = await submitChange(
    session,
    [{edit: 'set', path: '/', setting: 'priority', value: 3}],
    {author: 'bo'},
  );
  expect(changed.isErr && changed.error.code).to.equal('FORBIDDEN');
  expect((await session.listMembers()).isOk).to.equal(true);
  session.close();
});

it('secured path: a change is recorded under the name of the operator token', async () => {
  const {session} = system;
  const edit = {
    edit: 'set',
    path: '/',
    setting: 'priority',
    value: 3,
  } as const;
  const changed = await submitChange(session, [edit], {author: 'somebody'});
  expect(changed.isOk && changed.value.outcome).to.equal('accepted');
  const history = await session.control.call(
    replica => replica.settingsHistory.query({limit: 1}),
    session.getDeadline(),
  );
  expect(history.isOk && history.value[0].author).to.equal('ana');
});
