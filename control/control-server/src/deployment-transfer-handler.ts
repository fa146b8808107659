import {DEPLOYMENT_REQUEST_SCHEMA} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_BODY_BYTES = 4_096;

/** Creates the HTTP handler for entries that ask for the active deployment. */
export function createDeploymentTransferHandler(
  fleet: Pick<FleetManager, 'transferDeployment'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_BODY_BYTES,
    answer: async message =>
      fleet.transferDeployment(DEPLOYMENT_REQUEST_SCHEMA.parse(message)),
  });
}
