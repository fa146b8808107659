import http from 'node:http';
import {once} from 'node:events';
import {expect} from 'chai';
import type {EngineView} from '@marigoldspur/deployment';
import {closeServer, listen} from '@marigoldspur/http-link';
import {ViewStreams} from '../src/view-streams.js';

const VIEWS = 300;
const ADAPTERS = Array.from({length: 10_000}, (_, index) => `m/a${index}@1`);

it('view streams: a follower that does not read holds a few states at most, and gets the latest one once it reads', async () => {
  const streams = new ViewStreams();
  const responses: http.ServerResponse[] = [];
  const server = http.createServer((request, response) => {
    responses.push(response);
    streams.handle(request, response);
  });
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const request = http.get({host: '127.0.0.1', port});
  const [response] = (await once(request, 'response')) as [
    http.IncomingMessage,
  ];
  response.pause();
  let line = '';
  for (let index = 0; index < VIEWS; index += 1) {
    const view = {version: index, adapters: ADAPTERS} as unknown as EngineView;
    line = `${JSON.stringify(view)}\n`;
    streams.publish(view, index * 10_000);
    await new Promise(resolve => setImmediate(resolve));
  }
  expect(responses[0].writableLength).to.be.at.most(3 * line.length);
  let received = '';
  response.on('data', (piece: Buffer) => (received += piece.toString()));
  response.resume();
  while (!received.endsWith(line)) {
    await once(response, 'data');
  }
  streams.stop();
  server.closeAllConnections();
  await closeServer(server);
});
