import type http from 'node:http';
import {createDisconnectSignal} from '@marigoldspur/abort-signals';
import {
  PREPARE_REQUEST_SCHEMA,
  ADAPTER_USAGE_SCHEMA,
  type PrepareAnswer,
} from '@marigoldspur/deployment';
import {createJsonHandler, readBody} from '@marigoldspur/http-link';
import type {AdapterManager} from './adapter-manager.js';

const MAX_REQUEST_BYTES = 65_536;
const STATUS_BAD_REQUEST = 400;

/**
 * Creates the HTTP handler for requests to load an adapter. A request is
 * cancelled when its sender disconnects.
 */
export function createPrepareHandler(manager: AdapterManager) {
  return (request: http.IncomingMessage, response: http.ServerResponse) =>
    prepare(manager, request, response);
}

async function prepare(
  manager: AdapterManager,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const disconnectSignal = createDisconnectSignal(response);
  const body = await readBody(request, MAX_REQUEST_BYTES);
  const prepareRequest = body.isOk ? parse(body.value) : undefined;
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

function parse(body: Buffer) {
  try {
    const parsed = PREPARE_REQUEST_SCHEMA.safeParse(JSON.parse(String(body)));
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
export function createUsageHandler(manager: AdapterManager) {
  return createJsonHandler({
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
