import http from 'node:http';
import {expect} from 'chai';
import {listen, readBody} from '@marigoldspur/http-link';
import {HOP_HEADERS} from '@marigoldspur/messages';
import {attemptAt, createClient, HOP} from './fake-agent.js';

const ATTEMPTS = 5;
const MAX_BODY_BYTES = 1_024;

it('attempt: a reused socket keeps no listeners of earlier attempts', async () => {
  const server = http.createServer((request, response) => {
    request.resume();
    response.writeHead(200, {
      [HOP_HEADERS.request]: HOP.request,
      [HOP_HEADERS.attempt]: String(HOP.attempt),
    });
    response.end('{}');
  });
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const httpAgent = new http.Agent({keepAlive: true, maxSockets: 1});
  const client = createClient(undefined, httpAgent);
  const target = {url: `http://127.0.0.1:${port}`, stop: () => {}};
  for (let count = 0; count < ATTEMPTS; count += 1) {
    const sent = await client.send(attemptAt(target));
    if (sent.isErr) {
      throw sent.error;
    }
    const body = await readBody(sent.value.message, MAX_BODY_BYTES);
    expect(body.isOk && body.value.toString()).to.equal('{}');
  }
  const sockets = [httpAgent.freeSockets, httpAgent.sockets].flatMap(each =>
    Object.values(each).flat(),
  );
  const [socket] = sockets;
  expect(socket?.listenerCount('connect')).to.equal(0);
  client.close();
  server.close();
});
