import http from 'node:http';
import {expect} from 'chai';
import {Fault} from '@marigoldspur/faults';
import {
  closeServer,
  JsonStream,
  createJsonStreamHandler,
  listen,
} from '@marigoldspur/http-link';

const LOOPBACK = '127.0.0.1';
const LONG_TIMEOUT_MS = 10_000;
const MAX_BYTES = 100;

const cleanups: Array<() => unknown> = [];

afterEach(async () => {
  await Promise.all(cleanups.splice(0).map(cleanup => cleanup()));
});

async function open(answer: (message: unknown) => Promise<unknown>) {
  const handle = createJsonStreamHandler({maxBodyBytes: MAX_BYTES, answer});
  let requests = 0;
  const server = http.createServer((request, response) => {
    requests += 1;
    handle(request, response);
  });
  const {port} = await listen(server, {host: LOOPBACK, port: 0});
  const agent = new http.Agent();
  const url = new URL(`http://${LOOPBACK}:${port}/`);
  const stream = new JsonStream({url, agent, maxAnswerBytes: MAX_BYTES});
  cleanups.push(() => {
    stream.end();
    agent.destroy();
    server.closeAllConnections();
    return closeServer(server);
  });
  return {stream, server, port, requests: () => requests};
}

async function faultOf(sent: Promise<unknown>): Promise<Fault> {
  const thrown = await sent.then(
    () => undefined,
    (error: unknown) => error,
  );
  expect(thrown).to.be.instanceOf(Fault);
  return thrown as Fault;
}

it('json stream: messages are answered one after the other over one request', async () => {
  const {stream, requests} = await open(async message => ({got: message}));
  expect(await stream.exchange(1, LONG_TIMEOUT_MS)).to.deep.equal({got: 1});
  expect(await stream.exchange('é\n', LONG_TIMEOUT_MS)).to.deep.equal({
    got: 'é\n',
  });
  expect(requests()).to.equal(1);
});

it('json stream: a fault of the other process is thrown and the stream stays usable', async () => {
  const {stream} = await open(async message => {
    if (message === 'bad') {
      throw new Fault('NOT_LEADER', 'http://other');
    }
    return 'good';
  });
  const fault = await faultOf(stream.exchange('bad', LONG_TIMEOUT_MS));
  expect([fault.code, fault.message]).to.deep.equal([
    'NOT_LEADER',
    'http://other',
  ]);
  expect(await stream.exchange('well', LONG_TIMEOUT_MS)).to.equal('good');
});

it('json stream: a message without an answer in time ends the stream, so that a late answer is not assigned to another message', async () => {
  const {stream} = await open(() => new Promise(() => {}));
  const fault = await faultOf(stream.exchange(1, 20));
  expect(fault.code).to.equal('UNAVAILABLE');
  expect(stream.isEnded).to.equal(true);
  expect((await faultOf(stream.exchange(2, LONG_TIMEOUT_MS))).code).to.equal(
    'UNAVAILABLE',
  );
});

it('json stream: a second message before the first answer is refused', async () => {
  let answer: (value: string) => void = () => {};
  const {stream} = await open(() => new Promise(resolve => (answer = resolve)));
  const first = stream.exchange(1, LONG_TIMEOUT_MS);
  expect((await faultOf(stream.exchange(2, LONG_TIMEOUT_MS))).code).to.equal(
    'UNAVAILABLE',
  );
  await new Promise(resolve => setImmediate(resolve));
  const timer = setInterval(() => answer('one'), 1);
  cleanups.push(() => clearInterval(timer));
  expect(await first).to.equal('one');
});

it('json stream: a broken connection fails the pending message', async () => {
  const {stream, server} = await open(async () => {
    server.closeAllConnections();
    return new Promise(() => {});
  });
  const fault = await faultOf(stream.exchange(1, LONG_TIMEOUT_MS));
  expect(fault.code).to.equal('UNAVAILABLE');
  expect(stream.isEnded).to.equal(true);
});

it('json stream: a message that is too long, or comes before the previous answer, closes the connection', async () => {
  const {port} = await open(() => new Promise(() => {}));
  for (const body of ['1\n2\n', 'x'.repeat(MAX_BYTES + 1)]) {
    const request = http.request({host: LOOPBACK, port, method: 'POST'});
    const closed = new Promise(resolve => request.on('close', resolve));
    request.on('error', () => {});
    request.write(body);
    await closed;
  }
});
