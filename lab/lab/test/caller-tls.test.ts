import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import type {IncomingMessage} from 'node:http';
import https from 'node:https';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {TLSSocket} from 'node:tls';
import {expect} from 'chai';
import {deploymentTree, startSystem, type System} from '@marigoldspur/lab';
import {createAuthority} from '@marigoldspur/test-keys';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [{service: 'lm-desk', kind: 'engine', count: 1}],
  loadsPerSecond: 50,
} as const;
const authority = createAuthority();

let folder: string;
let system: System;

before(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'marigoldspur-caller-tls-'));
  await writeKeys('first');
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: deploymentTree([DEPLOYMENT], 1),
    controls: 1,
    entries: 1,
    keys: {
      processFlags: [],
      entryFlags: [
        ...['--caller-tls-cert', file('callers.crt')],
        ...['--caller-tls-key', file('callers.key')],
      ],
    },
  });
  await system.settled();
});

after(async () => {
  await system?.stop();
  await rm(folder, {recursive: true});
});

function file(name: string): string {
  return path.join(folder, name);
}

async function writeKeys(name: string): Promise<void> {
  const {cert, key} = authority.issue(name);
  await writeFile(file('callers.crt'), cert);
  await writeFile(file('callers.key'), key);
}

/** Asks for a stream over a connection of its own. */
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

async function textOf(answer: IncomingMessage): Promise<string> {
  let text = '';
  for await (const chunk of answer) {
    text += chunk;
  }
  return text;
}

function shownBy(answer: IncomingMessage): string {
  const {subject} = (answer.socket as TLSSocket).getPeerCertificate();
  return String(subject.CN);
}

it('caller TLS: a caller is served over the certificate of the entry', async () => {
  const answer = await complete(3);
  expect(shownBy(answer)).to.equal('first');
  expect(await textOf(answer)).to.match(/data: \[DONE\]\s*$/);
});

it('caller TLS: a new certificate is taken under a running stream', async () => {
  const running = await complete(400);
  const text = textOf(running);
  await writeKeys('second');
  const entry = system.entries[0];
  await entry.line(line => line.includes('"keys-reloaded"'));
  let shown = '';
  while (shown !== 'second') {
    const answer = await complete(3);
    shown = shownBy(answer);
    expect(await textOf(answer)).to.contain('[DONE]');
  }
  expect(await text).to.match(/data: \[DONE\]\s*$/);
});

it('caller TLS: without TLS nothing is answered', async () => {
  const {port} = new URL(system.entryUrls[0]);
  const fault = await fetch(`http://127.0.0.1:${port}/v1/models`).catch(
    thrown => thrown,
  );
  expect(fault).to.be.instanceOf(Error);
});
