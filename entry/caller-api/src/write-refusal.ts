import type {ServerResponse} from 'node:http';
import type {Refusal} from '@marigoldspur/faults';

/** The body of a refusal, in OpenAI's error shape with the outcome beside it. */
export function refusalBody(refusal: Refusal, request: string): string {
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

/** Answers a caller with a refusal; an answer that has begun is broken off instead. */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  request: string,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = refusalBody(refusal, request);
  response.writeHead(refusal.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    'x-request-id': request,
    ...(refusal.retryAfterSeconds !== undefined && {
      'retry-after': String(refusal.retryAfterSeconds),
    }),
  });
  response.end(body);
}
