import type http from 'node:http';
import {Fault} from '@marigoldspur/faults';
import {
  createJsonHandler,
  createJsonStreamHandler,
  type JsonHandlerOptions,
  type MessageMemory,
} from '@marigoldspur/http-link';
import {
  HEARTBEAT_BATCH_PATH,
  HEARTBEAT_BATCH_SCHEMA,
  HEARTBEAT_PATH,
  MEMBER_SCHEMA,
  omitEmptyLists,
} from '@marigoldspur/messages';
import type {z} from 'zod';
import type {ControlService} from './service.js';

const MAX_BATCH_BYTES = 8_388_608;
const HTTP_NOT_FOUND = 404;

type Handler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => unknown;

/**
 * Serves single heartbeats and streams of the batches that relays gather, as JSON over plain
 * HTTP. Heartbeats are the most frequent calls of control, and a tRPC call costs its server
 * about four times as much. `memory` limits what they take; there is no limit if it is absent.
 */
export function createHeartbeatHandler(
  service: Pick<ControlService, 'heartbeat' | 'heartbeats'>,
  memory?: MessageMemory,
): Handler {
  const handlers = new Map<string, Handler>([
    [
      HEARTBEAT_PATH,
      createJsonHandler(
        createHandlerOptions(
          MEMBER_SCHEMA,
          member => service.heartbeat(member),
          memory,
        ),
      ),
    ],
    [
      HEARTBEAT_BATCH_PATH,
      createJsonStreamHandler(
        createHandlerOptions(
          HEARTBEAT_BATCH_SCHEMA,
          async batch => omitEmptyLists(await service.heartbeats(batch)),
          memory,
        ),
      ),
    ],
  ]);
  return (request, response) => {
    const handler = handlers.get(request.url ?? '');
    if (handler !== undefined && request.method === 'POST') {
      handler(request, response);
      return;
    }
    response.statusCode = HTTP_NOT_FOUND;
    response.end('not found\n');
  };
}

function createHandlerOptions<T>(
  schema: z.ZodType<T>,
  answer: (message: T) => Promise<unknown>,
  memory: MessageMemory | undefined,
): JsonHandlerOptions {
  return {
    maxBodyBytes: MAX_BATCH_BYTES,
    memory,
    answer: async message => {
      const parsed = schema.safeParse(message);
      if (!parsed.success) {
        throw new Fault('INVALID_INPUT', parsed.error.message);
      }
      return answer(parsed.data);
    },
  };
}
