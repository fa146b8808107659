import type http from 'node:http';
import {
  STREAM_ORIGIN_LOOKUP_SCHEMA,
  STREAM_ORIGINS_SCHEMA,
  type StreamOriginAnswer,
} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {
  createJsonHandler,
  LineReader,
  onResponseEnd,
  type MessageMemory,
} from '@marigoldspur/http-link';

const MAX_ORIGINS_BYTES = 4_194_304;
const MAX_LOOKUP_BYTES = 4_096;
const STATUS_OK = 200;

/**
 * Creates the HTTP handler that takes the origins of streams from entries, one message a line
 * of a long-lived request. An invalid message closes the connection.
 */
export function createStreamOriginHandler(
  fleet: Pick<FleetManager, 'addStreamOrigins'>,
  {memory}: MessageMemory,
) {
  return (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void => {
    // A request that ends early drops its reference to the socket, so keep one here.
    const {socket} = request;
    const reservation = memory.reserve('message', 0);
    const reader = new LineReader(MAX_ORIGINS_BYTES, reservation);
    onResponseEnd(response, () => reservation?.release());
    response.on('error', () => socket.destroy());
    response.writeHead(STATUS_OK, {'content-type': 'application/x-ndjson'});
    response.flushHeaders();
    request.on('error', () => socket.destroy());
    request.on('end', () => response.end());
    request.on('data', (chunk: Buffer) => {
      try {
        for (const line of reader.push(chunk)) {
          const {origins} = STREAM_ORIGINS_SCHEMA.parse(JSON.parse(line));
          fleet.addStreamOrigins(origins, performance.now());
        }
      } catch {
        // The entry logs the end of the connection and sends its origins again.
        socket.destroy();
      }
    });
  };
}

/** Creates the HTTP handler that looks up the origin of a stream. */
export function createStreamOriginLookupHandler(
  fleet: Pick<FleetManager, 'findStreamOrigin' | 'findVersionEvidence'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_LOOKUP_BYTES,
    answer: async (message): Promise<StreamOriginAnswer> => {
      const {call, service} = STREAM_ORIGIN_LOOKUP_SCHEMA.parse(message);
      const origin =
        call === undefined ? undefined : fleet.findStreamOrigin(call);
      return origin === undefined
        ? {evidence: await fleet.findVersionEvidence(service)}
        : {origin};
    },
  });
}
