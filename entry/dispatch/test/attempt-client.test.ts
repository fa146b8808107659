import type {Socket} from 'node:net';
import {expect} from 'chai';
import {Result} from 'true-myth';
import {type Attempt, type AttemptResponse} from '@marigoldspur/dispatch';
import type {Refusal} from '@marigoldspur/faults';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {
  agentResponse,
  attemptAt,
  createClient,
  HOP,
  startFakeAgent,
  type FakeAgent,
} from './fake-agent.js';

const NOT_REPEATABLE = {...HOP, repeatable: false};
const REFUSAL = [
  'HTTP/1.1 503 Service Unavailable',
  `${HOP_HEADERS.outcome}: not-run`,
  `${HOP_HEADERS.reason}: load_failed`,
  'retry-after: 7',
  'content-length: 22',
  '',
  '{"message":"too late"}',
].join('\r\n');

let agent: FakeAgent | undefined;
const client = createClient();

afterEach(() => agent?.stop());
after(() => client.close());

async function send(
  serve: Parameters<typeof startFakeAgent>[0],
  changes: Partial<Attempt> = {},
): Promise<Result<AttemptResponse, Refusal>> {
  agent = await startFakeAgent(serve);
  return client.send(attemptAt(agent, changes));
}

function refusalOf(sent: Result<AttemptResponse, Refusal>): Refusal {
  if (sent.isOk) {
    throw new Error('the attempt got a response');
  }
  return sent.error;
}

it('attempt: a frozen agent never receives the body of a non-repeatable request', async () => {
  const received: string[] = [];
  const sent = await send((_, bytes) => received.push(bytes), {
    hop: NOT_REPEATABLE,
    firstByteTimeoutMs: 50,
  });
  expect(refusalOf(sent)).to.include({
    outcome: 'not-run',
    reason: 'no_answer_in_time',
  });
  expect(received.join('')).to.not.contain('recap@v1"}');
});

it('attempt: a frozen agent may have run a request whose body was sent immediately', async () => {
  const sent = await send(() => {}, {firstByteTimeoutMs: 50});
  expect(refusalOf(sent)).to.include({outcome: 'unknown', status: 504});
});

it('attempt: a frozen agent never receives the end of an empty body', async () => {
  const received: string[] = [];
  const sent = await send((_, bytes) => received.push(bytes), {
    hop: NOT_REPEATABLE,
    body: Buffer.alloc(0),
    firstByteTimeoutMs: 50,
  });
  expect(refusalOf(sent).outcome).to.equal('not-run');
  expect(received.at(-1)).to.match(/expect: 100-continue/i);
  expect(received.at(-1)).to.match(/\r\n\r\n$/);
});

/**
 * Serves a connection as an agent that sends `100 Continue`, and calls `onBody`
 * once the bytes received after that end with `end`.
 */
function sendContinue(
  end: string,
  onBody: (socket: Socket) => void,
): (socket: Socket, bytes: string) => void {
  let hasContinued = false;
  return (socket, bytes) => {
    if (!hasContinued) {
      hasContinued = true;
      socket.write('HTTP/1.1 100 Continue\r\n\r\n');
    } else if (bytes.endsWith(end)) {
      onBody(socket);
    }
  };
}

it('attempt: an empty body ends after the agent’s 100 Continue', async () => {
  const sent = await send(
    sendContinue('\r\n\r\n0\r\n\r\n', socket =>
      socket.write(agentResponse('text/plain', 'done', NOT_REPEATABLE)),
    ),
    {hop: NOT_REPEATABLE, method: 'DELETE', body: Buffer.alloc(0)},
  );
  expect(sent.isOk).to.equal(true);
});

it('attempt: the body is sent after the agent’s 100 Continue', async () => {
  const sent = await send(
    sendContinue('recap@v1"}', socket =>
      socket.write(agentResponse('text/plain', 'done', NOT_REPEATABLE)),
    ),
    {hop: NOT_REPEATABLE},
  );
  expect(sent.isOk).to.equal(true);
});

it('attempt: an agent lost after 100 Continue leaves the outcome unknown', async () => {
  const sent = await send(
    sendContinue('recap@v1"}', socket => socket.destroy()),
    {hop: NOT_REPEATABLE},
  );
  expect(refusalOf(sent)).to.include({outcome: 'unknown', status: 502});
});

it('attempt: an agent lost before 100 Continue did not run the request', async () => {
  const sent = await send(socket => socket.destroy(), {hop: NOT_REPEATABLE});
  expect(refusalOf(sent).outcome).to.equal('not-run');
});

it('attempt: a refusal instead of 100 Continue is returned', async () => {
  const sent = await send(socket => socket.write(REFUSAL), {
    hop: NOT_REPEATABLE,
  });
  expect(refusalOf(sent)).to.include({
    outcome: 'not-run',
    reason: 'load_failed',
    message: 'too late',
    retryAfterSeconds: 7,
  });
});

it('attempt: a refused connection means not run', async () => {
  agent = await startFakeAgent(() => {});
  agent.stop();
  const sent = await client.send(attemptAt(agent));
  expect(refusalOf(sent)).to.include({
    outcome: 'not-run',
    reason: 'agent_unreachable',
  });
});

it('attempt: a response to another request is dropped', async () => {
  const crossed = {...HOP, request: 'request-2'};
  const sent = await send(socket =>
    socket.write(agentResponse('text/plain', 'not yours', crossed)),
  );
  expect(refusalOf(sent).reason).to.equal('crossed_answer');
});

it('attempt: a late response to an earlier attempt is dropped', async () => {
  const earlier = {...HOP, attempt: 1};
  const sent = await send(
    socket => socket.write(agentResponse('text/plain', 'late', earlier)),
    {hop: {...HOP, attempt: 2}},
  );
  expect(refusalOf(sent).reason).to.equal('crossed_answer');
});

it('attempt: callers’ hop and connection headers are not forwarded', async () => {
  let head = '';
  await send(
    (socket, bytes) => {
      head = bytes.toLowerCase();
      socket.write(agentResponse('text/plain', 'done'));
    },
    {
      headers: {
        [HOP_HEADERS.target]: 'smuggled',
        'x-marigoldspur-unheard-of': 'smuggled',
        connection: 'keep-alive, x-private',
        'x-private': 'smuggled',
        'transfer-encoding': 'smuggled',
        authorization: 'Bearer smuggled',
        'x-kept': 'kept',
      },
    },
  );
  expect(head).to.contain('x-kept: kept');
  expect(head).to.not.contain('smuggled');
  expect(head.split(HOP_HEADERS.target)).to.have.length(2);
});

it('attempt: the agent’s settings revision is reported', async () => {
  const revisions: Array<[number, string]> = [];
  const observingClient = createClient((...args) => revisions.push(args));
  agent = await startFakeAgent(socket =>
    socket.write(
      agentResponse('text/plain', 'done').replace(
        'content-type',
        `${HOP_HEADERS.revision}: 41\r\ncontent-type`,
      ),
    ),
  );
  await observingClient.send(attemptAt(agent));
  observingClient.close();
  expect(revisions).to.deep.equal([[41, agent.url]]);
});
