import type http from 'node:http';
import {LineReader} from '@marigoldspur/http-link';
import {DELIVERY_SCHEMA, type ReplicaService} from './replica-service.js';

/** Path at which a replica accepts delivery streams. */
export const DELIVERY_PATH = '/log/deliveries';

/** Maximum size of a delivery or an answer as JSON, in bytes. */
export const MAX_LINE_BYTES = 33_554_432;

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/**
 * Returns a handler that serves delivery streams and answers all other requests with
 * 404.
 */
export function createDeliveryHandler(
  service: ReplicaService,
): http.RequestListener {
  return (request, response) => {
    if (request.method !== 'POST' || request.url !== DELIVERY_PATH) {
      response.statusCode = STATUS_NOT_FOUND;
      response.end('not found\n');
      return;
    }
    // Keep the socket, because a request that ends early loses its reference to it.
    const {socket} = request;
    response.on('error', () => socket.destroy());
    serveStream(service, request, response).catch(() => socket.destroy());
  };
}

/** Answers deliveries one after another. An invalid delivery ends the stream. */
async function serveStream(
  service: ReplicaService,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const reader = new LineReader(MAX_LINE_BYTES);
  response.writeHead(STATUS_OK, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();
  for await (const chunk of request) {
    for (const line of reader.push(chunk as Buffer)) {
      const delivery = DELIVERY_SCHEMA.parse(JSON.parse(line));
      const answer = await service.deliver(delivery);
      if (response.destroyed) {
        return;
      }
      response.write(`${JSON.stringify(answer)}\n`);
    }
  }
  response.end();
}
