import http from 'node:http';
import {expect} from 'chai';
import {EventLog} from '@marigoldspur/event-log';
import {closeServer, listen} from '@marigoldspur/http-link';
import {formatHop} from '@marigoldspur/messages';
import {createProcessMetrics} from '@marigoldspur/metrics';
import {createEmptyTree} from '@marigoldspur/settings-schema';
import {createAgentMetrics} from '../src/agent-metrics.js';
import {AttemptHandler} from '../src/attempt-handler.js';

const BODY = 'x'.repeat(400);

/**
 * Creates a handler that throws when it forwards, because the protocol of its
 * target is not supported.
 */
function createThrowingHandler(): AttemptHandler {
  const labels = {process: 'agent-0', role: 'agent', zone: 'lima-a'};
  return new AttemptHandler({
    target: 'chart-api-0',
    targetUrl: 'ftp://127.0.0.1',
    customer: 'callao',
    service: 'chart-api',
    settings: {settings: {revision: 1, tree: createEmptyTree()}},
    events: new EventLog({process: 'agent-0'}),
    metrics: createAgentMetrics(createProcessMetrics(labels).registry),
    maxBodyBytes: 1_000,
    maxHeldBytes: 300,
  });
}

it('held bodies: the size of a body without a content length is released if forwarding throws', async () => {
  const handler = createThrowingHandler();
  const thrown: string[] = [];
  const server = http.createServer();
  server.on('checkContinue', (request, response) => {
    handler.handle(request, response, true).catch(error => {
      thrown.push(String(error));
      response.destroy();
    });
  });
  const {port} = await listen(server, {host: '127.0.0.1', port: 0});
  const first = await send(port, 'request-1');
  const second = await send(port, 'request-2');
  await closeServer(server);
  expect(thrown.join()).to.contain('ftp:');
  expect([first, second]).to.deep.equal(['broken', 'broken']);
  expect(thrown).to.have.length(2);
});

/**
 * Sends a chunked body after `100 Continue` and resolves with the reason of the
 * refusal.
 */
function send(port: number, request: string): Promise<string> {
  return new Promise(resolve => {
    const clientRequest = http.request({
      port,
      method: 'POST',
      path: '/indication',
      agent: false,
      headers: {
        ...formatHop({
          request,
          attempt: 1,
          model: undefined,
          target: 'chart-api-0',
          revision: 1,
          budgetMs: 20_000,
          priority: 5,
          repeatable: false,
        }),
        'transfer-encoding': 'chunked',
        expect: '100-continue',
      },
    });
    clientRequest.on('continue', () => clientRequest.end(BODY));
    clientRequest.on('error', () => resolve('broken'));
    clientRequest.on('response', response => {
      response.resume();
      resolve(String(response.headers['x-marigoldspur-reason']));
    });
    clientRequest.flushHeaders();
  });
}
