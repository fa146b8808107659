import http from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {Result} from 'true-myth';
import type {SettingsFollower} from '@marigoldspur/control-client';
import {listen} from '@marigoldspur/http-link';
import {SETTINGS_TREE_SCHEMA} from '@marigoldspur/settings-schema';
import {RequestReader} from '../src/request-reader.js';

const TREE = SETTINGS_TREE_SCHEMA.parse({
  customers: {
    callao: {
      services: {'chart-api': {kind: 'plain', pathPrefix: 'chart-api'}},
    },
  },
});
const MAX_HELD_BYTES = 1_000;

let server: http.Server;
let port: number;
let onRequest: () => void = () => {};

before(async () => {
  const reader = new RequestReader({
    settingsFollower: {settings: {revision: 1, tree: TREE}} as SettingsFollower,
    authenticator: {authenticate: () => Result.ok(undefined), stop: () => {}},
    maxBodyBytes: 1_000_000,
    maxHeldBytes: MAX_HELD_BYTES,
    acceptsRequests: () => true,
    shutdownSignal: new AbortController().signal,
  });
  server = http.createServer(async (request, response) => {
    onRequest();
    const now = performance.now();
    const job = await reader.read('request-1', request, response, now);
    response.end(job.isOk ? 'read' : job.error.reason);
  });
  ({port} = await listen(server, {host: '127.0.0.1', port: 0}));
});

after(() => {
  server.close();
  server.closeAllConnections();
});

async function post(body: string, headers = {}): Promise<string> {
  const answer = await fetch(`http://127.0.0.1:${port}/chart-api/x`, {
    method: 'POST',
    body,
    headers,
  });
  return answer.text();
}

it('reader: bodies beyond the total limit are refused until others have ended', async () => {
  const started = new Promise<void>(resolve => {
    onRequest = resolve;
  });
  const slow = net.connect(port, '127.0.0.1', () =>
    slow.write(
      'POST /chart-api/slow HTTP/1.1\r\nhost: a\r\ncontent-length: 800\r\n\r\nx',
    ),
  );
  await started;
  expect(await post('x'.repeat(300))).to.equal('entry_full');
  expect(await post('x'.repeat(100))).to.equal('read');
  const answered = new Promise(resolve => slow.once('data', resolve));
  slow.write('x'.repeat(799));
  await answered;
  slow.destroy();
  expect(await post('x'.repeat(300))).to.equal('read');
});

it('reader: a body without a stated length counts as it is received', async () => {
  const started = new Promise<void>(resolve => {
    onRequest = resolve;
  });
  const slow = net.connect(port, '127.0.0.1', () =>
    slow.write(
      'POST /chart-api/slow HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n',
    ),
  );
  await started;
  expect(await post('x'.repeat(800))).to.equal('read');
  const answered = new Promise<Buffer>(resolve => slow.once('data', resolve));
  slow.write(`${MAX_HELD_BYTES.toString(16)}\r\n${'x'.repeat(MAX_HELD_BYTES)}`);
  slow.write('\r\n1\r\nx\r\n');
  expect((await answered).toString()).to.include('entry_full');
  slow.destroy();
  expect(await post('x'.repeat(800))).to.equal('read');
});

it('reader: a malformed idempotency key is refused', async () => {
  const key = 'k'.repeat(256);
  expect(await post('x', {'idempotency-key': key})).to.equal('malformed_key');
});
