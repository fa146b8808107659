import type http from 'node:http';
import {LineReader} from '@marigoldspur/http-link';
import {DELIVERY_SCHEMA, type ReplicaService} from './replica-service.js';

/** Path at which a replica takes streams of deliveries. */
export const DELIVERY_PATH = '/log/deliveries';

/** Longest delivery or answer as JSON, in bytes. */
export const MAX_LINE_BYTES = 33_554_432;

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Serves streams of deliveries to a replica, and refuses every other request. */
export function deliveryHandler(service: ReplicaService): http.RequestListener {
  return (request, response) => {
    if (request.method !== 'POST' || request.url !== DELIVERY_PATH) {
      response.statusCode = HTTP_NOT_FOUND;
      response.end('not found\n');
      return;
    }
    // A request that ends early gives up its socket, so this is taken before.
    const {socket} = request;
    response.on('error', () => socket.destroy());
    serve(service, request, response).catch(() => socket.destroy());
  };
}

/** Answers one delivery after the other; what is broken ends the stream. */
async function serve(
  service: ReplicaService,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const reader = new LineReader(MAX_LINE_BYTES);
  response.writeHead(HTTP_OK, {'content-type': 'application/x-ndjson'});
  response.flushHeaders();
  for await (const piece of request) {
    for (const line of reader.push(piece as Buffer)) {
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
