import {TARGET_LEAVES_SCHEMA} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_REQUEST_BYTES = 4_194_304;

/** Creates the HTTP handler that takes which targets told entries that they leave. */
export function createTargetLeaveHandler(
  fleet: Pick<FleetManager, 'recordLeaves'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async message => {
      fleet.recordLeaves(TARGET_LEAVES_SCHEMA.parse(message).targets);
      return {};
    },
  });
}
