import http from 'node:http';
import net from 'node:net';
import {EventLog} from '@marigoldspur/event-log';
import {HOP_HEADERS, type Hop} from '@marigoldspur/messages';
import {listen} from '@marigoldspur/http-link';
import {
  AttemptClient,
  TargetHealthMonitor,
  type Attempt,
  type AttemptClientOptions,
} from '@marigoldspur/dispatch';

/** Hop of a request that may be repeated. */
export const HOP: Hop = {
  request: 'request-1',
  attempt: 1,
  model: {adapter: 'recap', version: 'v1'},
  target: 'lm-desk-0',
  revision: 1,
  budgetMs: 20_000,
  priority: 5,
  repeatable: true,
};

/** A TCP server that takes the place of an agent. */
export interface FakeAgent {
  readonly url: string;
  stop(): void;
}

/**
 * Starts a fake agent; `serve` is called with each connection and all bytes
 * received on it so far.
 */
export async function startFakeAgent(
  serve: (socket: net.Socket, received: string) => void,
): Promise<FakeAgent> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    sockets.add(socket);
    let received = '';
    socket.on('data', bytes => {
      received += bytes.toString('latin1');
      serve(socket, received);
    });
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  const address = await listen(server, {host: '127.0.0.1', port: 0});
  return {
    url: `http://127.0.0.1:${address.port}`,
    stop: () => {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}

/** An attempt at a fake agent. */
export function attemptAt(
  agent: FakeAgent,
  changes: Partial<Attempt> = {},
): Attempt {
  return {
    hop: HOP,
    destination: {target: HOP.target, url: agent.url, boot: 'boot-1'},
    method: 'POST',
    url: '/v1/completions',
    headers: {'content-type': 'application/json'},
    body: Buffer.from('{"model":"recap@v1"}'),
    signal: new AbortController().signal,
    firstByteTimeoutMs: 20_000,
    ...changes,
  };
}

/** The bytes of an agent's complete response. */
export function agentResponse(
  contentType: string,
  body: string,
  hop: Hop = HOP,
  headers: readonly string[] = [],
): string {
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)].filter(Boolean);
  return [
    'HTTP/1.1 200 OK',
    `content-type: ${contentType}`,
    'set-cookie: a=1',
    'set-cookie: b=2',
    'transfer-encoding: chunked',
    `trailer: ${HOP_HEADERS.end}`,
    `${HOP_HEADERS.request}: ${hop.request}`,
    `${HOP_HEADERS.attempt}: ${hop.attempt}`,
    ...headers,
    '',
    ...chunks.flatMap(chunk => [chunk.length.toString(16), chunk]),
    '0',
    `${HOP_HEADERS.end}: ${body.length}`,
    '',
    '',
  ].join('\r\n');
}

/** Creates an attempt client. */
export function createClient(
  onRevision: AttemptClientOptions['onRevision'] = () => {},
  agent = new http.Agent({keepAlive: true}),
): AttemptClient {
  const events = new EventLog({process: 'entry-0'});
  const health = new TargetHealthMonitor({agent, events});
  return new AttemptClient({agent, health, onRevision});
}
