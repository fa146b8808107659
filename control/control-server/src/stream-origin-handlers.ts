import {
  STREAM_ORIGIN_LOOKUP_SCHEMA,
  STREAM_ORIGINS_SCHEMA,
  type StreamOriginAnswer,
} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler} from '@marigoldspur/http-link';

const MAX_ORIGINS_BYTES = 4_194_304;
const MAX_LOOKUP_BYTES = 4_096;

/** Creates the HTTP handler that takes the origins of streams from entries. */
export function createStreamOriginHandler(
  fleet: Pick<FleetManager, 'addStreamOrigins'>,
) {
  return createJsonHandler({
    maxBodyBytes: MAX_ORIGINS_BYTES,
    answer: async message => {
      const {origins} = STREAM_ORIGINS_SCHEMA.parse(message);
      fleet.addStreamOrigins(origins, performance.now());
      return {};
    },
  });
}

/** Creates the HTTP handler that looks up the origin of a stream. */
export function createStreamOriginLookupHandler(
  fleet: Pick<FleetManager, 'findStreamOrigin'>,
) {
  return createJsonHandler({
    maxBodyBytes: MAX_LOOKUP_BYTES,
    answer: async (message): Promise<StreamOriginAnswer> => {
      const {call} = STREAM_ORIGIN_LOOKUP_SCHEMA.parse(message);
      return {origin: fleet.findStreamOrigin(call)};
    },
  });
}
