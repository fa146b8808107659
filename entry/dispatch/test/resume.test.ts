import http from 'node:http';
import {expect} from 'chai';
import {
  relayResponse,
  NumberedEventBuffer,
  type StreamResumer,
  type RelayResult,
} from '@marigoldspur/dispatch';
import {listen} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {
  agentResponse,
  attemptAt,
  createClient,
  HOP,
  startFakeAgent,
} from './fake-agent.js';

const EVENTS = [
  'id: 0\ndata: {"text":"a"}\n\n',
  'id: 1\r\ndata: {"text":"b"}\r\n\r\n',
  'id: 2\ndata: [DONE]\n\n',
];
const BODY = EVENTS.join('');
const RESUMABLE = `${HOP_HEADERS.resumable}: 20000`;

interface Scenario {
  /** Bytes that the agent sends first, before the connection breaks. */
  readonly first: string;
  /** Returns the bytes for a resume after an event. */
  readonly rest: (after: number) => string;
}

interface Observation {
  /** What the caller received; undefined if the response broke off. */
  readonly body: string | undefined;
  readonly relayed: RelayResult | undefined;
  /** Events after which the response was resumed. */
  readonly resumes: number[];
  readonly cancels: number;
}

const client = createClient();
after(() => client.close());

function streamResponse(body: string, ...headers: string[]): string {
  const all = [RESUMABLE, ...headers];
  return agentResponse('text/event-stream', body, HOP, all);
}

function restAfter(after: number, from = after + 1): string {
  const header = `${HOP_HEADERS.resumeAfter}: ${after}`;
  return streamResponse(EVENTS.slice(from).join(''), header);
}

/**
 * Sends a request to an entry whose agent breaks off and then resumes the
 * stream.
 */
async function runScenario(scenario: Scenario): Promise<Observation> {
  const resumes: number[] = [];
  let cancels = 0;
  const agent = await startFakeAgent((socket, received) => {
    if (!received.includes('\r\n\r\n')) {
      return;
    }
    const after = /resume-after: (-?\d+)/.exec(received)?.[1];
    const bytes =
      after === undefined ? scenario.first : scenario.rest(Number(after));
    socket.end(bytes, 'latin1');
  });
  const resumer: StreamResumer = {
    reopen: async after => {
      resumes.push(after);
      const sent = await client.send(
        attemptAt(agent, {resumeAfter: after, body: Buffer.alloc(0)}),
      );
      return sent.unwrapOr(undefined as never);
    },
    cancel: () => (cancels += 1),
  };
  let relayed: RelayResult | undefined;
  const server = http.createServer(async (_, response) => {
    const sent = await client.send(attemptAt(agent));
    if (sent.isErr) {
      response.writeHead(502).end();
      return;
    }
    relayed = await relayResponse(sent.value, response, {
      headers: {},
      maxBufferedBytes: 0,
      endsWithDone: true,
      maxStoredBytes: 1_000,
      outlivesCaller: false,
      signal: new AbortController().signal,
      resumer,
    });
  });
  const address = await listen(server, {host: '127.0.0.1', port: 0});
  try {
    const callerResponse = await fetch(`http://127.0.0.1:${address.port}`);
    const text = await callerResponse.text().catch(() => undefined);
    const body = callerResponse.status === 200 ? text : undefined;
    return {body, relayed, resumes, cancels};
  } catch {
    return {body: undefined, relayed, resumes, cancels};
  } finally {
    agent.stop();
    server.close();
    server.closeAllConnections();
  }
}

it('resume: a stream cut at any byte is resumed byte for byte', async () => {
  const whole = streamResponse(BODY);
  const head = whole.indexOf('\r\n\r\n') + 4;
  for (let cut = head; cut < whole.length; cut += 1) {
    const seen = await runScenario({
      first: whole.slice(0, cut),
      rest: restAfter,
    });
    expect(seen.body, `cut at ${cut}`).to.equal(BODY);
    expect(seen.relayed?.outcome, `cut at ${cut}`).to.equal('whole');
    expect(seen.relayed?.body?.toString()).to.equal(BODY);
    expect(seen.resumes, `cut at ${cut}`).to.have.length(1);
  }
});

it('resume: a resumed stream that is cut at any byte is resumed again byte for byte', async () => {
  const first = streamResponse(BODY);
  const cutFirst = first.slice(0, first.indexOf('id: 1'));
  const whole = restAfter(0);
  for (let cut = 0; cut < whole.length; cut += 1) {
    let tries = 0;
    const rest = (after: number) => {
      tries += 1;
      return tries === 1 ? whole.slice(0, cut) : restAfter(after);
    };
    const seen = await runScenario({first: cutFirst, rest});
    const headArrived = cut >= whole.indexOf('\r\n\r\n') + 4;
    expect(seen.body, `cut at ${cut}`).to.equal(headArrived ? BODY : undefined);
  }
});

it('resume: a resumed stream with duplicate or missing events, or of another request or attempt, is rejected', async () => {
  const first = streamResponse(BODY);
  const cut = first.slice(0, first.indexOf('id: 2'));
  const wrong: Array<(after: number) => string> = [
    after => restAfter(after, 0),
    after => restAfter(after, after),
    () => restAfter(0),
    () => streamResponse(EVENTS[2]),
    after => restAfter(after).replace(HOP.request, 'request-2'),
    after => restAfter(after).replace('attempt: 1', 'attempt: 2'),
    after => restAfter(after).replace('id: 2', 'id: 3'),
  ];
  for (const [index, rest] of wrong.entries()) {
    let tries = 0;
    const once = (after: number) => {
      tries += 1;
      return tries > 3 ? 'HTTP/1.1 500 no\r\n\r\n' : rest(after);
    };
    const seen = await runScenario({first: cut, rest: once});
    expect(seen.body, `case ${index}`).to.equal(undefined);
    expect(seen.relayed?.outcome, `case ${index}`).to.equal('torn');
    expect(seen.cancels, `case ${index}`).to.equal(1);
  }
});

it('resume: a response that cannot be resumed is torn', async () => {
  const first = streamResponse(BODY);
  const refusal = [
    'HTTP/1.1 410 Gone',
    `${HOP_HEADERS.outcome}: unknown`,
    `${HOP_HEADERS.reason}: resume_gone`,
    'content-length: 0',
    '\r\n',
  ].join('\r\n');
  const cut = first.slice(0, first.indexOf('id: 1'));
  const seen = await runScenario({first: cut, rest: () => refusal});
  expect(seen.body).to.equal(undefined);
  expect(seen.relayed?.outcome).to.equal('torn');
});

it('resume: a stream without event numbers is forwarded unchanged', async () => {
  const plain = 'data: {"text":"a"}\n\ndata: [DONE]\n\n';
  const whole = await runScenario({
    first: streamResponse(plain),
    rest: restAfter,
  });
  expect(whole.body).to.equal(plain);
  const bytes = streamResponse(plain);
  const cut = bytes.slice(0, bytes.indexOf('[DONE]'));
  const seen = await runScenario({first: cut, rest: restAfter});
  expect(seen.body).to.equal(undefined);
  expect(seen.resumes).to.deep.equal([]);
});

it('resume: the same events are forwarded however the bytes are split', () => {
  const bytes = Buffer.from(BODY);
  for (let size = 1; size <= bytes.length; size += 1) {
    const events = new NumberedEventBuffer();
    const passed: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += size) {
      passed.push(events.add(bytes.subarray(at, at + size)));
    }
    const before = Buffer.concat(passed).toString();
    expect(before, `pieces of ${size}`).to.equal(EVENTS[0] + EVENTS[1]);
    expect(events.lastEventNumber).to.equal(1);
    expect(events.finish()?.toString()).to.equal(EVENTS[2]);
  }
});

it('event buffer: an event without an end invalidates the stream at a limit', () => {
  const events = new NumberedEventBuffer();
  const part = Buffer.alloc(600_000, 'x');
  expect(events.add(Buffer.from('id: 0\ndata: a\n\n')).length).to.equal(15);
  expect(events.add(part).length).to.equal(0);
  expect(events.isInvalid).to.equal(false);
  expect(events.add(part).length).to.equal(0);
  expect(events.isInvalid).to.equal(true);
  expect(events.isNumbered).to.equal(true);
  events.restart();
  expect(events.isInvalid).to.equal(false);
  expect(events.add(Buffer.from('id: 1\ndata: b\n\n')).length).to.equal(15);
});

it('resume: a stream that continues with bytes of no event without end is resumed after its last event', async () => {
  const head = streamResponse('').split('\r\n\r\n')[0];
  const junk = 'x'.repeat(4_000_000);
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const seen = await runScenario({
    first: `${head}\r\n\r\n${chunk(EVENTS[0])}${chunk(junk)}`,
    rest: restAfter,
  });
  expect(seen.body).to.equal(BODY);
  expect(seen.resumes).to.deep.equal([0]);
});
