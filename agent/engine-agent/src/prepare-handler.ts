import type http from 'node:http';
import {createDisconnectSignal} from '@marigoldspur/abort-signals';
import {
  PREPARE_REQUEST_SCHEMA,
  ADAPTER_USAGE_SCHEMA,
  type PrepareAnswer,
} from '@marigoldspur/deployment';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';
import {discardRest} from '@marigoldspur/request-bodies';
import type {AdapterManager} from './adapter-manager.js';

const MAX_REQUEST_BYTES = 65_536;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/**
 * Creates the HTTP handler for requests to load an adapter. A request is
 * cancelled when its sender disconnects.
 */
export function createPrepareHandler(
  manager: AdapterManager,
  {bodies}: MessageMemory,
) {
  return (request: http.IncomingMessage, response: http.ServerResponse) =>
    prepare(manager, bodies, request, response);
}

async function prepare(
  manager: AdapterManager,
  bodies: MessageMemory['bodies'],
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const disconnectSignal = createDisconnectSignal(response);
  const body = await bodies.read({request, maxBytes: MAX_REQUEST_BYTES});
  if (body.isErr && body.error.code === 'FULL') {
    discardRest(request, true);
    response.statusCode = STATUS_UNAVAILABLE;
    response.setHeader('retry-after', body.error.retryAfterSeconds ?? 1);
    response.end();
    return;
  }
  const text = body.map(({pieces}) => Buffer.concat(pieces).toString());
  body.map(read => read.release());
  const prepareRequest = text.isOk ? parse(text.value) : undefined;
  if (prepareRequest === undefined) {
    response.statusCode = STATUS_BAD_REQUEST;
    response.end();
    return;
  }
  const answer = await manager.prepare(
    prepareRequest,
    disconnectSignal,
    performance.now(),
  );
  sendAnswer(response, answer);
}

function parse(text: string) {
  try {
    const parsed = PREPARE_REQUEST_SCHEMA.safeParse(JSON.parse(text));
    return parsed.data;
  } catch {
    // Invalid JSON gets the same response as JSON that does not match the
    // schema.
    return undefined;
  }
}

function sendAnswer(
  response: http.ServerResponse,
  answer: PrepareAnswer,
): void {
  const text = JSON.stringify(answer);
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Creates the HTTP handler for the entries' reports of the adapters in use. */
export function createUsageHandler(
  manager: AdapterManager,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async message => {
      manager.recordUsage(
        ADAPTER_USAGE_SCHEMA.parse(message),
        performance.now(),
      );
      return {};
    },
  });
}
