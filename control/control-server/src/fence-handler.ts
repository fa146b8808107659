import {FENCE_REQUEST_SCHEMA, type FenceAnswer} from '@marigoldspur/deployment';
import type {FleetCommands} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_REQUEST_BYTES = 4_096;

/** Creates the HTTP handler that grants agents the fencing numbers for their orders to targets. */
export function createFenceHandler(
  commands: Pick<FleetCommands, 'grantFence'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async (message): Promise<FenceAnswer> => {
      const {target} = FENCE_REQUEST_SCHEMA.parse(message);
      const granted = await commands.grantFence(target);
      if (granted.isErr) {
        throw granted.error;
      }
      return {fence: granted.value};
    },
  });
}
