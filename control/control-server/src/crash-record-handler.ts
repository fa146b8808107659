import {CRASH_RECORDS_SCHEMA} from '@marigoldspur/deployment';
import type {FleetManager} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

const MAX_REQUEST_BYTES = 4_194_304;

/** Creates the HTTP handler that takes the crash records of entries. */
export function createCrashRecordHandler(
  fleet: Pick<FleetManager, 'addCrashRecords'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async message => {
      const records = CRASH_RECORDS_SCHEMA.parse(message);
      fleet.addCrashRecords(records, performance.now());
      return {};
    },
  });
}
