import {Refusal} from '@marigoldspur/faults';
import {formatRefusalBody} from './write-refusal.js';

/**
 * Formats the raw HTTP response for a connection on which no complete request
 * could be read; `code` is the error code that Node reports.
 */
export function formatClientErrorResponse(code: string): string {
  const refusal = createRefusalForCode(code);
  const body = formatRefusalBody(refusal, '');
  return [
    `HTTP/1.1 ${refusal.status} ${refusal.reason}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}

function createRefusalForCode(code: string): Refusal {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return new Refusal(
        'not-run',
        431,
        'headers_too_large',
        'the request headers are too large',
      );
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return new Refusal(
        'not-run',
        408,
        'request_too_slow',
        'the request was not received in time',
      );
    default:
      return new Refusal(
        'not-run',
        400,
        'malformed_request',
        'the request is not valid HTTP',
      );
  }
}
