import type {IncomingMessage} from 'node:http';

/** Memory of the objects of a request without headers, in bytes. */
const REQUEST_BYTES = 2_048;
/** Memory of one header field in the request and its copy for a target, in bytes. */
const FIELD_BYTES = 320;

/** Memory that the headers of a request take as objects, in bytes. */
export function headerObjectBytes({
  rawHeaders,
}: Pick<IncomingMessage, 'rawHeaders'>): number {
  return REQUEST_BYTES + (rawHeaders.length / 2) * FIELD_BYTES;
}
