import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import https from 'node:https';
import type {AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import tls from 'node:tls';
import {expect} from 'chai';
import {secretDigest} from '@marigoldspur/access';
import {EventLog} from '@marigoldspur/event-log';
import {InvalidInput, toFault} from '@marigoldspur/faults';
import {
  LINK_SETTINGS_SCHEMA,
  openLinkSecurity,
  type LinkSecurity,
} from '@marigoldspur/link-security';
import {
  createCertificateAuthority,
  type CertificateAuthority,
} from '@marigoldspur/test-certificates';

let folder: string;
let authority: CertificateAuthority;
let events: EventLog;
const opened: LinkSecurity[] = [];
const servers: http.Server[] = [];

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-keys-'));
  authority = createCertificateAuthority();
});

beforeEach(() => {
  events = new EventLog({process: 'test'});
});

after(async () => {
  servers.forEach(server => server.close());
  servers.forEach(server => server.closeAllConnections());
  opened.forEach(security => security.stop());
  await rm(folder, {recursive: true});
});

function file(name: string): string {
  return path.join(folder, name);
}

async function openSecurity(name: string): Promise<LinkSecurity> {
  const {cert, key} = authority.issue(name);
  await writeFile(file(`${name}.crt`), cert);
  await writeFile(file(`${name}.key`), key);
  await writeFile(file('ca.crt'), authority.ca);
  await writeFile(
    file('tokens.yaml'),
    JSON.stringify({
      tokens: [{name: 'ana', role: 'viewer', sha256: secretDigest('s3cret')}],
    }),
  );
  const security = await openLinkSecurity(
    LINK_SETTINGS_SCHEMA.parse({
      tlsCert: file(`${name}.crt`),
      tlsKey: file(`${name}.key`),
      tlsCa: file('ca.crt'),
      operatorTokens: file('tokens.yaml'),
    }),
    events,
  );
  opened.push(security);
  return security;
}

/** Starts a server that answers with the caller that the security recognizes. */
async function serve(security: LinkSecurity): Promise<string> {
  const server = security.createServer({}, (request, response) => {
    response.end(JSON.stringify(security.callerOf(request)));
  });
  servers.push(server);
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  return `${security.scheme}://127.0.0.1:${port}/`;
}

function get(url: string, options: https.RequestOptions): Promise<unknown> {
  return new Promise((resolve, reject) => {
    https
      .get(url, options, response => {
        let text = '';
        response.on('data', chunk => (text += chunk));
        response.on('end', () => resolve(JSON.parse(text)));
      })
      .on('error', reject);
  });
}

it('links: a certificate of the authority identifies a process', async () => {
  const url = await serve(await openSecurity('server'));
  const client = await openSecurity('client');
  const caller = await get(url, {agent: client.createAgent()});
  expect(caller).to.deep.equal({kind: 'process'});
});

it('links: a certificate of another authority leaves the caller anonymous', async () => {
  const url = await serve(await openSecurity('server'));
  const otherCertificate = createCertificateAuthority().issue('foreign');
  const caller = await get(url, {...otherCertificate, ca: authority.ca});
  expect(caller).to.deep.equal({kind: 'anonymous'});
});

it('links: a token identifies an operator, a wrong one leaves the caller anonymous', async () => {
  const url = await serve(await openSecurity('server'));
  const call = (token: string) =>
    get(url, {
      ca: authority.ca,
      headers: {authorization: `Bearer ${token}`},
    });
  expect(await call('s3cret')).to.deep.equal({
    kind: 'operator',
    name: 'ana',
    role: 'viewer',
  });
  expect(await call('wrong')).to.deep.equal({kind: 'anonymous'});
});

it('links: a server of another authority is not trusted', async () => {
  const url = await serve(await openSecurity('server'));
  const other = createCertificateAuthority();
  const call = get(url, {...other.issue('client'), ca: other.ca});
  const fault = await call.then(() => undefined, toFault);
  expect(fault?.message).to.match(/certificate|signature/);
});

it('links: keys are reloaded without a restart, malformed ones are rejected', async () => {
  const security = await openSecurity('server');
  const url = await serve(security);
  const rejected = () =>
    events.eventsAfter(0, 100).some(event => event.name === 'keys-rejected');
  await writeFile(file('tokens.yaml'), 'tokens: [{name: 1}]');
  while (!rejected()) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
  const headers = (token: string) => ({authorization: `Bearer ${token}`});
  const ca = authority.ca;
  expect(await get(url, {ca, headers: headers('s3cret')})).to.include({
    name: 'ana',
  });
  await writeFile(
    file('tokens.yaml'),
    JSON.stringify({
      tokens: [{name: 'bo', role: 'operator', sha256: secretDigest('new')}],
    }),
  );
  let caller: unknown;
  do {
    caller = await get(url, {ca, headers: headers('new')});
  } while ((caller as {name?: string}).name !== 'bo');
  expect(caller).to.include({role: 'operator'});
  expect(await get(url, {ca, headers: headers('s3cret')})).to.include({
    kind: 'anonymous',
  });
});

/** Resolves to the common name of a server's certificate, or to the error message. */
function peerCertificateName(url: string, options: tls.ConnectionOptions = {}) {
  return new Promise<string>(resolve => {
    const port = Number(new URL(url).port);
    const socket = tls.connect(
      {...options, port, host: '127.0.0.1', ca: authority.ca},
      () => {
        resolve(String(socket.getPeerCertificate().subject.CN));
        socket.destroy();
      },
    );
    socket.on('error', error => resolve(toFault(error).message));
  });
}

async function waitForEvents(name: string, count: number): Promise<void> {
  const seen = () =>
    events.eventsAfter(0, 100).filter(event => event.name === name).length;
  while (seen() < count) {
    await new Promise(resolve => setTimeout(resolve, 20));
  }
}

it('links: a new certificate is used once its key has changed too', async () => {
  const url = await serve(await openSecurity('first'));
  const {cert, key} = authority.issue('second');
  await writeFile(file('first.crt'), cert);
  await waitForEvents('keys-rejected', 1);
  expect(await peerCertificateName(url)).to.equal('first');
  await writeFile(file('first.key'), key);
  let certificateName = 'first';
  while (certificateName === 'first') {
    certificateName = await peerCertificateName(url);
  }
  expect(certificateName).to.equal('second');
});

it('links: TLS 1.2 is refused, also after a reload', async () => {
  const url = await serve(await openSecurity('modern'));
  const tls12Options = {maxVersion: 'TLSv1.2'} as const;
  expect(await peerCertificateName(url, tls12Options)).to.match(
    /protocol version/,
  );
  const {cert, key} = authority.issue('renewed');
  await writeFile(file('modern.crt'), cert);
  await writeFile(file('modern.key'), key);
  let certificateName = 'modern';
  while (certificateName === 'modern') {
    certificateName = await peerCertificateName(url);
  }
  expect(certificateName).to.equal('renewed');
  expect(await peerCertificateName(url, tls12Options)).to.match(
    /protocol version/,
  );
});

it('links: without keys only loopback is allowed, and this is recorded', async () => {
  const security = await openLinkSecurity(
    LINK_SETTINGS_SCHEMA.parse({}),
    events,
  );
  expect(security.scheme).to.equal('http');
  expect(events.eventsAfter(0, 1)[0].name).to.equal('insecure-loopback');
  const open = openLinkSecurity(
    LINK_SETTINGS_SCHEMA.parse({host: '0.0.0.0'}),
    events,
  );
  const fault = await open.then(() => undefined, toFault);
  expect(fault).to.be.instanceOf(InvalidInput);
  expect(fault?.message).to.match(/--host/);
});

it('links: an incomplete set of TLS files gives a finding for each missing file', async () => {
  const open = openLinkSecurity(
    LINK_SETTINGS_SCHEMA.parse({tlsCert: 'a.crt'}),
    events,
  );
  const fault = (await open.then(() => undefined, toFault)) as InvalidInput;
  expect(fault.findings.map(finding => finding.place)).to.deep.equal([
    '--tls-key',
    '--tls-ca',
  ]);
});
