import {QUOTA_REQUEST_SCHEMA} from '@marigoldspur/deployment';
import type {QuotaGranter} from '@marigoldspur/fleet';
import {createJsonHandler, type MessageMemory} from '@marigoldspur/http-link';

/** Room for the maximum number of grants and returns with long names. */
const MAX_REQUEST_BYTES = 2_097_152;

/** Creates the HTTP handler that grants entries units of tenants' quotas. */
export function createQuotaGrantHandler(
  granter: Pick<QuotaGranter, 'grant'>,
  memory: MessageMemory,
) {
  return createJsonHandler({
    memory,
    maxBodyBytes: MAX_REQUEST_BYTES,
    answer: async message => granter.grant(QUOTA_REQUEST_SCHEMA.parse(message)),
  });
}
