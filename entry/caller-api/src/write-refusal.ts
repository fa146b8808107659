import type {ServerResponse} from 'node:http';
import type {Refusal} from '@marigoldspur/faults';

/** Default `Retry-After` of refusals that state none, in seconds. */
const DEFAULT_RETRY_AFTER_SECONDS = 1;

/**
 * Formats the body of a refusal in OpenAI's error format, with the outcome and
 * the request ID added.
 */
export function formatRefusalBody(refusal: Refusal, request: string): string {
  return JSON.stringify({
    error: {
      message: refusal.message,
      type: refusal.status < 500 ? 'invalid_request_error' : 'server_error',
      code: refusal.reason,
      param: null,
      outcome: refusal.outcome,
      request,
    },
  });
}

/**
 * Sends a refusal to the caller. If the response has already started, closes
 * the connection instead.
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  request: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = formatRefusalBody(refusal, request);
  const retryAfter = retryAfterSeconds(refusal);
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': request,
    ...(retryAfter !== undefined && {'retry-after': String(retryAfter)}),
  });
  response.end(body);
}

function retryAfterSeconds(refusal: Refusal): number | undefined {
  const isTemporary = refusal.status >= 500 || refusal.status === 429;
  const fallback = isTemporary ? DEFAULT_RETRY_AFTER_SECONDS : undefined;
  return refusal.retryAfterSeconds ?? fallback;
}
