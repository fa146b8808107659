import {
  PERMIT_REQUEST_SCHEMA,
  REQUEST_LIMITS_SCHEMA,
  type PermitAnswer,
} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_LIMITS_BYTES = 4_194_304;
const MAX_PERMIT_REQUEST_BYTES = 4_096;

/** Creates the HTTP handler that takes the limits that targets stated to entries. */
export function createLimitHandler(
  {limiter}: Pick<FleetManager, 'limiter'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_LIMITS_BYTES,
    answer: async message => {
      const {limits} = REQUEST_LIMITS_SCHEMA.parse(message);
      limiter.addLimits(limits, performance.now());
      return {};
    },
  });
}

/** Creates the HTTP handler that grants entries permits to send calls to targets with a limit. */
export function createPermitHandler(
  {limiter}: Pick<FleetManager, 'limiter'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_PERMIT_REQUEST_BYTES,
    answer: (message): Promise<PermitAnswer> => {
      const request = PERMIT_REQUEST_SCHEMA.parse(message);
      return limiter.requestPermit(request, performance.now());
    },
  });
}
