import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import type {IncomingMessage} from 'node:http';
import https from 'node:https';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TLSSocket} from 'node:tls';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';
import {createCertificateAuthority} from '@marigoldspur/test-certificates';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;
const authority = createCertificateAuthority();

let folder: string;
let system: System;

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-caller-tls-'));
  await writeKeys('first');
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
    keys: {
      processFlags: [],
      entryFlags: [
        ...['--caller-tls-cert', resolveKeyPath('callers.crt')],
        ...['--caller-tls-key', resolveKeyPath('callers.key')],
      ],
    },
  });
  await system.waitUntilSettled();
});

after(async () => {
  await system?.stop();
  await rm(folder, {recursive: true});
});

function resolveKeyPath(name: string): string {
  return path.join(folder, name);
}

async function writeKeys(name: string): Promise<void> {
  const {cert, key} = authority.issue(name);
  await writeFile(resolveKeyPath('callers.crt'), cert);
  await writeFile(resolveKeyPath('callers.key'), key);
}

/** Requests a streamed completion over a new connection. */
function complete(tokens: number): Promise<IncomingMessage> {
  const {port} = new URL(system.entryUrls[0]);
  return new Promise((resolve, reject) => {
    const call = https.request(
      {
        host: '127.0.0.1',
        port,
        ca: authority.ca,
        agent: false,
        method: 'POST',
        path: '/v1/completions',
      },
      resolve,
    );
    call.on('error', reject);
    call.end(
      JSON.stringify({
        model: 'callao-0@v1',
        prompt: 'recap',
        stream: true,
        max_tokens: tokens,
      }),
    );
  });
}

async function readText(response: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of response) {
    text += chunk;
  }
  return text;
}

function readCertificateName(response: IncomingMessage): string {
  const {subject} = (response.socket as TLSSocket).getPeerCertificate();
  return String(subject.CN);
}

it('caller TLS: an entry serves callers with its certificate', async () => {
  const response = await complete(3);
  expect(readCertificateName(response)).to.equal('first');
  expect(await readText(response)).to.match(/data: \[DONE\]\s*$/);
});

it('caller TLS: a new certificate is loaded without breaking a running stream', async () => {
  const running = await complete(400);
  const text = readText(running);
  await writeKeys('second');
  const entry = system.entries[0];
  await entry.waitForLine(line => line.includes('"keys-reloaded"'));
  let servedName = '';
  while (servedName !== 'second') {
    const response = await complete(3);
    servedName = readCertificateName(response);
    expect(await readText(response)).to.contain('[DONE]');
  }
  expect(await text).to.match(/data: \[DONE\]\s*$/);
});

it('caller TLS: plain HTTP requests get no response', async () => {
  const {port} = new URL(system.entryUrls[0]);
  const error = await fetch(`http://127.0.0.1:${port}/v1/models`).catch(
    reason => reason,
  );
  expect(error).to.be.instanceOf(Error);
});
