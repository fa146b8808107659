import {z} from 'zod';
import type {DeploymentConfirmation} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_REQUEST_BYTES = 1_024;
const REQUEST_SCHEMA = z.object({});

/** Creates the HTTP handler that confirms to entries which deployment is active. */
export function createDeploymentConfirmationHandler(
  fleet: Pick<FleetManager, 'confirmDeployment'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async (message): Promise<DeploymentConfirmation> => {
      REQUEST_SCHEMA.parse(message);
      const confirmed = await fleet.confirmDeployment(performance.now());
      if (confirmed.isErr) {
        throw confirmed.error;
      }
      return confirmed.value;
    },
  });
}
