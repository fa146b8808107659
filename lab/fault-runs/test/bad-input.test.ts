import net from 'node:net';
import {expect} from 'chai';
import {
  createDeploymentTree,
  startSystem,
  type System,
} from '@marigoldspur/lab';

const DEPLOYMENT = {
  customer: 'callao',
  zones: ['lima-a'],
  targets: [
    {service: 'lm-desk', kind: 'engine', count: 1},
    {service: 'chart-api', kind: 'service', count: 1},
  ],
  loadsPerSecond: 50,
} as const;
const IDLE_CONNECTIONS = 2_000;
const VALID_REQUEST = 'GET /v1/models HTTP/1.1\r\nhost: entry\r\n\r\n';

let system: System;
let port: number;

before(async () => {
  system = await startSystem({
    deployments: [DEPLOYMENT],
    tree: createDeploymentTree([DEPLOYMENT], 2),
    controls: 1,
    entries: 1,
  });
  await system.waitUntilSettled();
  port = Number(new URL(system.entryUrls[0]).port);
});

after(() => system?.stop());

/** Sends raw bytes; resolves to the response once it meets `isComplete` or the connection closes. */
function sendBytes(
  bytes: string | Buffer,
  isComplete: (text: string) => boolean = () => false,
): Promise<string> {
  return new Promise(resolve => {
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    let text = '';
    socket.on('data', chunk => {
      text += chunk.toString('latin1');
      if (isComplete(text)) {
        socket.destroy();
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
  });
}

async function expectEntryServes(): Promise<void> {
  const answer = await fetch(`${system.entryUrls[0]}/v1/models`);
  expect(answer.status).to.equal(200);
}

function formatPost(path: string, headers: string[], body: string): string {
  const lines = [`POST ${path} HTTP/1.1`, 'host: entry', ...headers];
  return `${lines.join('\r\n')}\r\n\r\n${body}`;
}

function formatCompletionRequest(body: string): string {
  const length = `content-length: ${Buffer.byteLength(body)}`;
  return formatPost('/v1/completions', [length, 'connection: close'], body);
}

it('bad input: invalid JSON gets a typed 400', async () => {
  const text = await sendBytes(
    formatCompletionRequest('{"model": "callao-1@v1", '),
  );
  expect(text).to.match(/^HTTP\/1.1 400/);
  expect(text).to.contain('"outcome":"not-run"');
});

it('bad input: JSON nested 500,000 levels deep gets a typed 400', async () => {
  const text = await sendBytes(formatCompletionRequest('['.repeat(500_000)));
  expect(text).to.match(/^HTTP\/1.1 400/);
  await expectEntryServes();
});

it('bad input: bytes that are not HTTP get a typed 400', async () => {
  const text = await sendBytes('what is this\r\n\r\n');
  expect(text).to.match(/^HTTP\/1.1 400/);
  expect(text).to.contain('malformed_request');
});

it('bad input: headers over the size limit get a typed 431', async () => {
  const header = `x-large: ${'x'.repeat(20_000)}`;
  const text = await sendBytes(formatPost('/v1/completions', [header], ''));
  expect(text).to.match(/^HTTP\/1.1 431/);
  expect(text).to.contain('headers_too_large');
});

it('bad input: conflicting body lengths and transfer encodings are refused', async () => {
  const conflicting = [
    ['content-length: 5', 'content-length: 6'],
    ['content-length: 5', 'transfer-encoding: chunked'],
    ['transfer-encoding: chunked, identity'],
  ];
  for (const headers of conflicting) {
    const text = await sendBytes(
      formatPost('/chart-api/x', headers, '0\r\n\r\n'),
    );
    expect(text, headers.join()).to.match(/^HTTP\/1.1 400/);
  }
});

it('bad input: a request with a malformed chunk does not run', async () => {
  const headers = ['transfer-encoding: chunked'];
  const bytes = formatPost(
    '/chart-api/broken-chunk',
    headers,
    'zz\r\nbody\r\n',
  );
  await sendBytes(bytes);
  const target = system.targets.find(pair => pair.name === 'chart-api-0');
  const record = await (await fetch(`${target?.url}/record`)).text();
  expect(record).to.not.contain('broken-chunk');
  await expectEntryServes();
});

it('bad input: a body over the size limit of the service gets a typed 413', async () => {
  const answer = await fetch(`${system.entryUrls[0]}/chart-api/large`, {
    method: 'POST',
    body: 'x'.repeat(1_048_577),
  });
  expect(answer.status).to.equal(413);
  expect(await answer.text()).to.contain('"outcome":"not-run"');
});

it('bad input: a body over the size limit of the entry is refused while it is sent', async () => {
  const answer = await fetch(`${system.entryUrls[0]}/chart-api/huge`, {
    method: 'POST',
    body: Buffer.alloc(12_000_000),
  });
  expect(answer.status).to.equal(413);
  await expectEntryServes();
});

it('bad input: pipelined requests are answered in order', async () => {
  const first = formatPost('/chart-api/first', ['content-length: 3'], 'one');
  const second = formatPost('/chart-api/second', ['content-length: 3'], 'two');
  const text = await sendBytes(first + second, seen =>
    /"body":"one"[^]*"body":"two"/.test(seen),
  );
  expect(text.indexOf('/first')).to.be.below(text.indexOf('/second'));
  expect(text).to.contain('/second');
});

it('bad input: internal headers set by a caller do not reach the target', async () => {
  const answer = await fetch(`${system.entryUrls[0]}/chart-api/smuggle`, {
    method: 'POST',
    body: 'smuggled',
    headers: {
      'x-marigoldspur-request': 'chosen-by-the-caller',
      'x-marigoldspur-target': 'lm-desk-0',
      'x-marigoldspur-repeatable': 'true',
    },
  });
  expect(answer.status).to.equal(200);
  const target = system.targets.find(pair => pair.name === 'chart-api-0');
  const record = await (await fetch(`${target?.url}/record`)).text();
  expect(record).to.contain('smuggled');
  expect(record).to.not.contain('chosen-by-the-caller');
});

it('bad input: thousands of idle connections do not affect other callers', async () => {
  const sockets = await Promise.all(
    Array.from(
      {length: IDLE_CONNECTIONS},
      () =>
        new Promise<net.Socket>((resolve, reject) => {
          const socket = net.connect(port, '127.0.0.1', () => resolve(socket));
          socket.on('error', reject);
        }),
    ),
  );
  await expectEntryServes();
  const text = await sendBytes(VALID_REQUEST, seen => seen.includes('"data"'));
  expect(text).to.match(/^HTTP\/1.1 200/);
  sockets.forEach(socket => socket.destroy());
});

it('bad input: a connection whose headers arrive too slowly is closed with 408', async () => {
  const text = await sendBytes('GET /v1/models HTTP/1.1\r\nhost: entry\r\n');
  expect(text).to.match(/^HTTP\/1.1 408/);
  expect(text).to.contain('request_too_slow');
});

it('bad input: when a caller disconnects, its run at the engine is cancelled', async () => {
  const body = JSON.stringify({
    model: 'callao-1@v1',
    prompt: 'cancelled by the caller',
    stream: true,
    max_tokens: 2_000,
  });
  const text = await sendBytes(formatCompletionRequest(body), seen =>
    seen.includes(' w3'),
  );
  expect(text).to.match(/^HTTP\/1.1 200/);
  expect(text).to.contain(' w3');
  const engine = system.targets.find(pair => pair.name === 'lm-desk-0');
  let record = '';
  while (!record.includes('"cancelled"')) {
    record = await (await fetch(`${engine?.url}/record`)).text();
  }
  expect(record).to.contain('"cancelled"');
});

it('bad input: a path that looks like a URL with another host reaches only its service', async () => {
  let connections = 0;
  const other = net.createServer(socket => {
    connections += 1;
    socket.destroy();
  });
  await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve));
  const {port: otherPort} = other.address() as net.AddressInfo;
  const host = `127.0.0.1:${otherPort}`;
  for (const path of [`//${host}/x`, '//', '/\\', `/\\${host}/x`]) {
    const headers = ['content-length: 0', 'connection: close'];
    const text = await sendBytes(formatPost(`/chart-api${path}`, headers, ''));
    expect(text, path).to.match(/^HTTP\/1.1 200/);
  }
  other.close();
  expect(connections).to.equal(0);
  await expectEntryServes();
});
