import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {secretDigest} from '@marigoldspur/access';
import {
  openCallerAuthenticator,
  type CallerAuthenticator,
} from '@marigoldspur/caller-authentication';
import {EventLog} from '@marigoldspur/event-log';
import {InvalidInput, toFault} from '@marigoldspur/faults';

const events = new EventLog({process: 'test'});
let folder: string;
let authenticator: CallerAuthenticator;

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-keys-'));
  const file = path.join(folder, 'keys.yaml');
  const key = {customer: 'callao', sha256: secretDigest('key-1')};
  await writeFile(file, JSON.stringify({keys: [key]}));
  authenticator = await openCallerAuthenticator({
    file,
    host: '10.0.0.1',
    events,
  });
});

after(async () => {
  authenticator.stop();
  await rm(folder, {recursive: true});
});

it('caller authentication: a key identifies its customer', () => {
  const customer = authenticator.authenticate({authorization: 'Bearer key-1'});
  expect(customer.isOk && customer.value).to.equal('callao');
});

it('caller authentication: missing and wrong keys are refused as not run', () => {
  for (const authorization of [undefined, 'Bearer key-2', 'Basic key-1']) {
    const refused = authenticator.authenticate({authorization});
    expect(refused.isErr && refused.error.status).to.equal(401);
    expect(refused.isErr && refused.error.outcome).to.equal('not-run');
  }
});

it('caller authentication: without keys only loopback is served', async () => {
  const open = (host: string) =>
    openCallerAuthenticator({file: undefined, host, events});
  const local = (await open('127.0.0.1')).authenticate({});
  expect(local.isOk && local.value).to.equal(undefined);
  const fault = await open('0.0.0.0').then(() => undefined, toFault);
  expect(fault).to.be.instanceOf(InvalidInput);
  expect(fault?.message).to.match(/--caller-keys/);
});
