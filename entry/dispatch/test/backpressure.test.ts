import http, {type IncomingMessage} from 'node:http';
import net from 'node:net';
import {expect} from 'chai';
import {relayResponse, type RelayOutcome} from '@marigoldspur/dispatch';
import {listen} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {
  agentResponse,
  attemptAt,
  createClient,
  startFakeAgent,
} from './fake-agent.js';

const BODY_BYTES = 64 * 1_048_576;
const CHUNK = Buffer.alloc(65_536, 'x');
/** Upper bound for stream buffers and the kernel buffers of three sockets. */
const MAX_UNREAD_BYTES = 24 * 1_048_576;
const STALL_MS = 300;

const client = createClient();
after(() => client.close());

/** Writes a large response as fast as it is read; `sent` counts its bytes. */
class LargeResponse {
  sent = 0;
  lastProgressAt = performance.now();

  write(socket: net.Socket): void {
    const head = agentResponse('application/octet-stream', '');
    socket.write(head.slice(0, head.indexOf('\r\n\r\n') + 4));
    const size = `${CHUNK.length.toString(16)}\r\n`;
    const next = () => {
      while (this.sent < BODY_BYTES) {
        this.sent += CHUNK.length;
        this.lastProgressAt = performance.now();
        socket.write(size);
        socket.write(CHUNK);
        if (!socket.write('\r\n')) {
          socket.once('drain', next);
          return;
        }
      }
      socket.write(`0\r\n${HOP_HEADERS.end}: ${BODY_BYTES}\r\n\r\n`);
    };
    next();
  }

  /** Resolves once nothing has been written for `STALL_MS`. */
  async waitUntilStalled(): Promise<void> {
    while (performance.now() - this.lastProgressAt < STALL_MS) {
      await new Promise(resolve => setTimeout(resolve, STALL_MS / 3));
    }
  }
}

it('backpressure: a slow caller slows the target down and still receives everything', async () => {
  const large = new LargeResponse();
  const agent = await startFakeAgent(socket => large.write(socket));
  let end: RelayOutcome | undefined;
  const server = http.createServer(async (_, response) => {
    const sent = await client.send(attemptAt(agent));
    if (sent.isOk) {
      const relayed = await relayResponse(sent.value, response, {
        headers: {},
        maxBufferedBytes: 1_048_576,
        endsWithDone: false,
        maxStoredBytes: 0,
        outlivesCaller: false,
        signal: new AbortController().signal,
      });
      end = relayed.outcome;
    }
  });
  const address = await listen(server, {host: '127.0.0.1', port: 0});
  const callerResponse = await new Promise<IncomingMessage>(resolve =>
    http.get({port: address.port, host: address.host, agent: false}, resolve),
  );
  await large.waitUntilStalled();
  expect(large.sent).to.be.below(MAX_UNREAD_BYTES);
  let received = 0;
  for await (const chunk of callerResponse) {
    received += (chunk as Buffer).length;
  }
  expect(received).to.equal(BODY_BYTES);
  expect(end).to.equal('whole');
  agent.stop();
  server.close();
  server.closeAllConnections();
});
