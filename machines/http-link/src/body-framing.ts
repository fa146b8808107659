import type {IncomingMessage} from 'node:http';

/** How the end of a body is told (RFC 9112, 6.3); `none` if there is no body. */
export type BodyFraming = 'none' | 'length' | 'chunks' | 'close';

const BODILESS_STATUSES = new Set([204, 304]);

/** Returns how the end of a response's body is told; `method` is that of the request. */
export function framingOf(
  {headers, statusCode = 0}: IncomingMessage,
  method: string,
): BodyFraming {
  if (method === 'HEAD' || BODILESS_STATUSES.has(statusCode)) {
    return 'none';
  }
  const codings = headers['transfer-encoding'];
  if (codings !== undefined) {
    return endsWithChunked(codings) ? 'chunks' : 'close';
  }
  return headers['content-length'] === undefined ? 'close' : 'length';
}

/** Whether the last of a message's transfer codings is that in chunks; the others frame nothing. */
function endsWithChunked(codings: string): boolean {
  return codings.split(',').at(-1)?.trim().toLowerCase() === 'chunked';
}
